import type TimerService from '../core/TimerService';
import DurationRatioEstimator from '../placement/DurationRatioEstimator';
import type RunState from './RunState';

/**
 * How well a backend server works, by what its runs show: how long they take against their
 * estimates, and how many fail. It answers a backend server that turns slow, hangs or fails all it
 * starts while its heartbeats stay good.
 *
 * Slowness is the time that runs have spent over the work that they got done, both fading within
 * some hundred milliseconds in which something runs. It shows a slow or hanging backend server before
 * anything has ended there, and the errors of single estimates, some 40%, even out over the ten runs
 * that it usually has.
 *
 * While nothing runs, the finding stands: else a slow backend server that is given nothing would seem
 * sound again after a second and be filled anew. What stands weighs little then, so that two or three
 * trials show its return.
 */
export default class BackendHealth {
  /** How fast work goes there while it is well. */
  readonly durations = DurationRatioEstimator.create();

  private elapsedMs = 0;

  private progressMs = 0;

  private sampledAt: number;

  private failureAverage = 0;

  private constructor(private readonly timer: TimerService) {
    this.sampledAt = timer.now();
  }

  /** Creates the measure of a backend server of which nothing is known. */
  static create(timer: TimerService): BackendHealth {
    return new BackendHealth(timer);
  }

  /** Time that work takes against its estimates; undefined while too little is known. */
  get slowness(): number | undefined {
    if (this.elapsedMs < MIN_ELAPSED_MS) return undefined;
    return Math.min(MAX_SLOWNESS, this.elapsedMs / Math.max(this.progressMs, 1));
  }

  /** Share of the newest ends that were failures, 0 to 1. */
  get failureRate(): number {
    return this.failureAverage;
  }

  /** Counts the time since the last look for the runs that go on. */
  sample(running: Iterable<RunState>): void {
    const now = this.timer.now();
    const sinceMs = now - this.sampledAt;
    this.sampledAt = now;
    const elapsed = [...running]
      .filter(({ isConfirmed, request }) => isConfirmed && request.estimateMs > 0)
      .map(({ startedAt }) => Math.min(sinceMs, now - startedAt));
    if (elapsed.length === 0) {
      this.reduceWeight();
      return;
    }
    const decay = Math.exp(-Math.max(...elapsed) / DECAY_MS);
    this.elapsedMs *= decay;
    this.progressMs *= decay;
    this.elapsedMs += elapsed.reduce((sum, ms) => sum + ms, 0);
  }

  /** Keeps the finding, with the weight of a single run, for when work is tried again. */
  private reduceWeight(): void {
    if (this.elapsedMs <= IDLE_ELAPSED_MS) return;
    this.progressMs *= IDLE_ELAPSED_MS / this.elapsedMs;
    this.elapsedMs = IDLE_ELAPSED_MS;
  }

  /** A run was seen to have come this much further, in hundredths of its work. */
  addProgress({ request }: RunState, percent: number): void {
    this.progressMs += (Math.max(0, percent) / PERCENT) * request.estimateMs;
  }

  /** A run has ended by itself. */
  recordEnd(state: RunState, isSuccess: boolean): void {
    this.failureAverage += ((isSuccess ? 0 : 1) - this.failureAverage) * FAILURE_WEIGHT;
    if (!isSuccess) return;
    this.addProgress(state, PERCENT - state.percentDone);
    const { batch, estimateMs } = state.request;
    const tookMs = this.timer.now() - state.startedAt;
    if ((this.slowness ?? 1) >= ABNORMAL_RATIO || tookMs >= estimateMs * ABNORMAL_RATIO) return;
    this.durations.addSample(batch, estimateMs, tookMs);
  }
}

const PERCENT = 100;

/** How fast what was seen fades, ms: a few looks of a busy backend server. */
const DECAY_MS = 300;

/** Time of runs that has to be seen before anything is said, ms: one run for that long, or ten for a tenth. */
const MIN_ELAPSED_MS = 150;

/** Weight of the finding on a backend server that is given nothing, as time of runs, ms. */
const IDLE_ELAPSED_MS = 200;

/** The highest slowness told: nothing is decided by more. */
const MAX_SLOWNESS = 100;

/** Times the estimates from which a backend server is ill, or a task longer than its kind: neither shows its speed. */
const ABNORMAL_RATIO = 4;

/** Weight of the newest end: three failures in a row make more than half. */
const FAILURE_WEIGHT = 0.25;
