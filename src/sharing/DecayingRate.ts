/** Rate of amounts per second, in which older amounts decay exponentially. */
export default class DecayingRate {
  private sum = 0;

  private updatedAt = 0;

  private constructor(private readonly timeConstantMs: number) {}

  /** Creates a rate of zero, in which an amount decays to a third within the time, ms. */
  static withTimeConstant(timeConstantMs: number): DecayingRate {
    return new DecayingRate(timeConstantMs);
  }

  /** Adds an amount. */
  add(amount: number, now: number): void {
    this.sum = this.decayedSum(now) + amount;
    this.updatedAt = now;
  }

  /** The amount per second. */
  perSecond(now: number): number {
    return (this.decayedSum(now) / this.timeConstantMs) * SECOND_MS;
  }

  private decayedSum(now: number): number {
    return this.sum * Math.exp((this.updatedAt - now) / this.timeConstantMs);
  }
}

const SECOND_MS = 1_000;
