import type TimerService from '../core/TimerService';

/**
 * What is known of a backend server's steady clock. Leases there end by that clock, which may run
 * slower than ours, so an estimate for "surely later than" differs from one for "about now".
 */
export default class BackendClock {
  private constructor(
    private readonly timer: TimerService,
    private readingMs: number,
    private readAt: number,
  ) {}

  /** Starts with a reading that has just arrived, ms. */
  static of(timer: TimerService, readingMs: number): BackendClock {
    return new BackendClock(timer, readingMs, timer.now());
  }

  /** Takes a reading that has just arrived; one that tells less than is known is ignored. */
  update(readingMs: number): void {
    if (readingMs < this.lowerBound()) return;
    this.readingMs = readingMs;
    this.readAt = this.timer.now();
  }

  /** About what the clock shows, ms; for leases. */
  estimate(): number {
    return this.readingMs + (this.timer.now() - this.readAt);
  }

  /** Time until the clock has surely reached a reading, ms; 0 when it has. */
  upperBoundMsUntil(readingMs: number): number {
    return Math.max(0, (readingMs - this.lowerBound()) / MIN_CLOCK_RATE);
  }

  /** What the clock has surely reached, ms, also if it runs slower than ours. */
  lowerBound(): number {
    return this.readingMs + (this.timer.now() - this.readAt) * MIN_CLOCK_RATE;
  }
}

/** The users' pages allow a backend server's clock to be 2% slow; 1% more for ours to be fast. */
const MIN_CLOCK_RATE = 0.97;
