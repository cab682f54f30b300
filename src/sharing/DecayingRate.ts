/** How much of something comes in a second, by what came lately: older amounts fade exponentially. */
export default class DecayingRate {
  private sum = 0;

  private at = 0;

  private constructor(private readonly fadeMs: number) {}

  /** Creates a rate of nothing, in which an amount fades to a third within the time, ms. */
  static withTimeConstant(fadeMs: number): DecayingRate {
    return new DecayingRate(fadeMs);
  }

  /** Takes note of an amount. */
  add(amount: number, now: number): void {
    this.sum = this.faded(now) + amount;
    this.at = now;
  }

  /** The amount a second. */
  perSecond(now: number): number {
    return (this.faded(now) / this.fadeMs) * SECOND_MS;
  }

  private faded(now: number): number {
    return this.sum * Math.exp((this.at - now) / this.fadeMs);
  }
}

const SECOND_MS = 1_000;
