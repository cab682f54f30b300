import type TimerService from '../core/TimerService';

const SECOND_MS = 1_000;

/** Limits how often something may happen, with a burst of up to one second's worth. */
export default class TokenBucket {
  private tokens: number;

  private filledAt: number;

  private constructor(
    private readonly timer: TimerService,
    private readonly perSecond: number,
  ) {
    this.tokens = Math.max(1, perSecond);
    this.filledAt = timer.now();
  }

  /** Creates a full bucket. */
  static of(timer: TimerService, perSecond: number): TokenBucket {
    return new TokenBucket(timer, perSecond);
  }

  /**
   * Takes a token and returns how long to wait before using it, in
   * milliseconds; undefined, without taking one, when that is above the limit.
   */
  take(limitMs: number): number | undefined {
    this.fill();
    const waitMs = Math.max(0, ((1 - this.tokens) * SECOND_MS) / this.perSecond);
    if (waitMs > limitMs) return undefined;
    this.tokens -= 1;
    return waitMs;
  }

  private fill(): void {
    const now = this.timer.now();
    const gained = ((now - this.filledAt) * this.perSecond) / SECOND_MS;
    this.tokens = Math.min(Math.max(1, this.perSecond), this.tokens + gained);
    this.filledAt = now;
  }
}
