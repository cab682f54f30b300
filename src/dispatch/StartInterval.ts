/** How fast tasks leave a queue, as a moving average of the time between starts. */
export default class StartInterval {
  private lastAt: number | undefined;

  private average = 0;

  private constructor() {}

  /** Creates a pace that has seen no start. */
  static create(): StartInterval {
    return new StartInterval();
  }

  /** Average time between two starts while tasks were waiting; 0 before there were any. */
  get averageMs(): number {
    return this.average;
  }

  /** Notes a start. Only the time after a start that left others waiting says how fast the queue moves. */
  recordStart(now: number, othersWait: boolean): void {
    if (this.lastAt !== undefined) {
      const intervalMs = now - this.lastAt;
      this.average += (intervalMs - this.average) * WEIGHT;
    }
    this.lastAt = othersWait ? now : undefined;
  }
}

/** Weight of the newest interval. */
const WEIGHT = 0.05;
