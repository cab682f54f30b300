/**
 * Limits retries to a share of the requests, so that retries can't multiply an
 * outage: each request earns a part of a retry, up to a small reserve.
 */
export default class RetryBudget {
  private readonly earned = new Map<string, number>();

  private constructor(private readonly shareOf: (service: string) => number) {}

  /** Creates a budget; `shareOf` gives how many retries one request of a service earns. */
  static create(shareOf: (service: string) => number): RetryBudget {
    return new RetryBudget(shareOf);
  }

  /** Notes one request of a service. */
  deposit(service: string): void {
    this.earned.set(service, Math.min(RESERVE, this.left(service) + this.shareOf(service)));
  }

  /** Takes one retry, if one is left. */
  tryWithdraw(service: string): boolean {
    const left = this.left(service);
    if (left < 1) return false;
    this.earned.set(service, left - 1);
    return true;
  }

  private left(service: string): number {
    return this.earned.get(service) ?? RESERVE;
  }
}

const RESERVE = 10;
