import type Random from './Random';

/** Doubling delays with jitter, for retries that must not come in step with others. */
export default class Backoff {
  private attempts = 0;

  private constructor(
    private readonly firstMs: number,
    private readonly limitMs: number,
    private readonly random: Random,
  ) {}

  /** Creates a backoff that starts at the first delay and never exceeds one and a half times the limit. */
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
