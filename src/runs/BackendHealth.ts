import type TimerService from '../core/TimerService';
import DurationRatioEstimator from '../placement/DurationRatioEstimator';
import type RunState from './RunState';

/**
 * Measures how well a backend server works: how long its runs take against their estimates, and how many fail.
 * It detects backend servers that become slow, hang or fail everything while their heartbeats stay good.
 *
 * Slowness is the time that runs have taken divided by the work that they have completed. Both decay exponentially
 * within some hundred milliseconds in which something runs. That shows a slow or hanging backend server before any run
 * has ended, and the errors of single estimates, some 40%, average out over the ten runs that it usually has.
 *
 * While nothing runs, the value is kept: otherwise a slow backend server without work would look healthy after
 * a second and be filled again. Its weight is reduced, so that two or three probes show a recovery.
 */
export default class BackendHealth {
  /** How long work takes there against its estimates while it is healthy. */
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

  /** Recent time taken divided by the estimates of the work completed; undefined while too little is known. */
  get slowness(): number | undefined {
    if (this.elapsedMs < MIN_ELAPSED_MS) return undefined;
    return Math.min(MAX_SLOWNESS, this.elapsedMs / Math.max(this.progressMs, 1));
  }

  /** Share of the most recent ends that were failures, 0 to 1. */
  get failureRate(): number {
    return this.failureAverage;
  }

  /** Adds the time since the last sample for each running run. */
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

  /** Keeps the ratio, but only with the weight of a single run, for when work is started again. */
  private reduceWeight(): void {
    if (this.elapsedMs <= IDLE_ELAPSED_MS) return;
    this.progressMs *= IDLE_ELAPSED_MS / this.elapsedMs;
    this.elapsedMs = IDLE_ELAPSED_MS;
  }

  /** A run has completed this much more of its work, in percent. */
  addProgress({ request }: RunState, percent: number): void {
    this.progressMs += (Math.max(0, percent) / PERCENT) * request.estimateMs;
  }

  /** A run has ended without being stopped. */
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

/** Time constant of the decay, ms: a few polls of a busy backend server. */
const DECAY_MS = 300;

/** Run time to measure before a value is given, ms: one run for that long, or ten for a tenth of it. */
const MIN_ELAPSED_MS = 150;

/** Weight of the value while nothing runs, as run time, ms. */
const IDLE_ELAPSED_MS = 200;

/** The highest slowness reported: higher values make no difference to any decision. */
const MAX_SLOWNESS = 100;

/**
 * Ratio of duration to estimate from which a backend server counts as unhealthy, or a task as an outlier.
 * Neither shows how fast the machine is.
 */
const ABNORMAL_RATIO = 4;

/** Weight of the newest end: three failures in a row raise the rate above a half. */
const FAILURE_WEIGHT = 0.25;
