import type TimerService from '../core/TimerService';

/**
 * Estimates the monotonic clock of a backend server. Leases expire by that clock, which may run slower than
 * ours, so besides an estimate of its time there is a lower bound.
 */
export default class BackendClock {
  private constructor(
    private readonly timer: TimerService,
    private readingMs: number,
    private readAt: number,
  ) {}

  /** Creates a clock from a reading that has just arrived, ms. */
  static of(timer: TimerService, readingMs: number): BackendClock {
    return new BackendClock(timer, readingMs, timer.now());
  }

  /** Applies a reading that has just arrived; one below the lower bound is ignored. */
  update(readingMs: number): void {
    if (readingMs < this.lowerBound()) return;
    this.readingMs = readingMs;
    this.readAt = this.timer.now();
  }

  /** The estimated time of the clock, ms; for leases. */
  estimate(): number {
    return this.readingMs + (this.timer.now() - this.readAt);
  }

  /** Upper bound of the time until the clock reaches a value, ms; 0 when it has. */
  upperBoundMsUntil(readingMs: number): number {
    return Math.max(0, (readingMs - this.lowerBound()) / MIN_CLOCK_RATE);
  }

  /** Lower bound of the clock's time, ms, if it runs at the lowest rate allowed. */
  lowerBound(): number {
    return this.readingMs + (this.timer.now() - this.readAt) * MIN_CLOCK_RATE;
  }
}

/** The user documentation allows a backend server's clock to be 2% slow; another 1% allows for a fast clock here. */
const MIN_CLOCK_RATE = 0.97;
