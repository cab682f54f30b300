import type TimerService from '../core/TimerService';
import type RunState from './RunState';

/**
 * How much longer work takes at a backend server than its estimates say. Estimates are rough, so
 * the ratios are averaged; a run that is far beyond its estimate counts before it ends, since a
 * backend server that turned slow shows nothing else for seconds.
 */
export default class Slowness {
  /** The average of the ratios of ended runs; undefined before the first. */
  average: number | undefined;

  private constructor(private readonly timer: TimerService) {}

  /** Creates the measure of a backend server of which nothing is known. */
  static create(timer: TimerService): Slowness {
    return new Slowness(timer);
  }

  /** Counts a run that has just ended by itself. */
  finished({ request, startedAt }: RunState): void {
    if (request.estimateMs <= 0) return;
    this.count((this.timer.now() - startedAt) / request.estimateMs);
  }

  /** The average ratio with the runs that go on now; undefined before anything is known. */
  of(running: Iterable<RunState>): number | undefined {
    let worst = this.average;
    [...running].forEach((state) => {
      const projected = this.projected(state);
      if (projected !== undefined && projected > (worst ?? 0)) worst = projected;
    });
    return worst;
  }

  private projected({ request, percent, percentAt, startedAt }: RunState): number | undefined {
    const elapsed = this.timer.now() - startedAt;
    if (request.estimateMs <= 0 || elapsed < request.estimateMs) return undefined;
    if (percent <= 0) return elapsed / request.estimateMs;
    return ((percentAt - startedAt) * 100) / percent / request.estimateMs;
  }

  private count(ratio: number): void {
    this.average =
      this.average === undefined ? ratio : this.average + (ratio - this.average) * GAIN;
  }
}

/** Weight of the newest run: about the last eight count, some 100 ms of a busy backend server. */
const GAIN = 0.12;
