/** Moving average of the time between task starts, which shows how fast a queue moves. */
export default class StartInterval {
  private previousStartAt: number | undefined;

  private average = 0;

  private constructor() {}

  /** Creates an average without any start. */
  static create(): StartInterval {
    return new StartInterval();
  }

  /** Average time between two starts while tasks were queued, in ms; 0 before there were any. */
  get averageMs(): number {
    return this.average;
  }

  /** Records a start. An interval counts only if tasks stayed queued after the earlier start. */
  recordStart(now: number, othersQueued: boolean): void {
    if (this.previousStartAt !== undefined) {
      const intervalMs = now - this.previousStartAt;
      this.average += (intervalMs - this.average) * SMOOTHING_FACTOR;
    }
    this.previousStartAt = othersQueued ? now : undefined;
  }
}

/** Weight of the newest interval. */
const SMOOTHING_FACTOR = 0.05;
