import type TimerService from '../core/TimerService';

const MS_PER_SECOND = 1_000;

/** A rate limiter that allows bursts of up to one second's tokens. */
export default class TokenBucket {
  private tokens: number;

  private refilledAt: number;

  private constructor(
    private readonly timer: TimerService,
    private readonly tokensPerSecond: number,
  ) {
    this.tokens = Math.max(1, tokensPerSecond);
    this.refilledAt = timer.now();
  }

  /** Creates a full bucket. */
  static of(timer: TimerService, tokensPerSecond: number): TokenBucket {
    return new TokenBucket(timer, tokensPerSecond);
  }

  /**
   * Takes a token and returns how long to wait before using it, in
   * milliseconds. Returns undefined and takes none if that is longer than `limitMs`.
   */
  take(limitMs: number): number | undefined {
    this.refill();
    const waitMs = Math.max(0, ((1 - this.tokens) * MS_PER_SECOND) / this.tokensPerSecond);
    if (waitMs > limitMs) return undefined;
    this.tokens -= 1;
    return waitMs;
  }

  private refill(): void {
    const now = this.timer.now();
    const refilled = ((now - this.refilledAt) * this.tokensPerSecond) / MS_PER_SECOND;
    this.tokens = Math.min(Math.max(1, this.tokensPerSecond), this.tokens + refilled);
    this.refilledAt = now;
  }
}
