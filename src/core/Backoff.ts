import type Random from './Random';

/** Exponential backoff with jitter, so that retries of several processes do not coincide. */
export default class Backoff {
  private attempts = 0;

  private constructor(
    private readonly firstMs: number,
    private readonly limitMs: number,
    private readonly random: Random,
  ) {}

  /** Creates a backoff that starts at about the first delay and never exceeds one and a half times the limit. */
  static of(firstMs: number, limitMs: number, random: Random): Backoff {
    return new Backoff(firstMs, limitMs, random);
  }

  /** The next delay in milliseconds. */
  next(): number {
    const middle = Math.min(this.limitMs, this.firstMs * 2 ** this.attempts);
    this.attempts += 1;
    return this.random.jitter(middle);
  }

  /** Starts again from the first delay, after a success. */
  reset(): void {
    this.attempts = 0;
  }
}
