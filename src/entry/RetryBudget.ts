/**
 * Limits retries to a share of the requests, so that retries can't amplify an
 * outage. Each request deposits a fraction of a retry, up to a small maximum
 * balance.
 */
export default class RetryBudget {
  private readonly balances = new Map<string, number>();

  private constructor(private readonly ratioOf: (service: string) => number) {}

  /** Creates a budget; `ratioOf` returns how many retries one request of a service deposits. */
  static create(ratioOf: (service: string) => number): RetryBudget {
    return new RetryBudget(ratioOf);
  }

  /** Deposits the share of one request of a service. */
  deposit(service: string): void {
    this.balances.set(
      service,
      Math.min(MAX_BALANCE, this.balanceOf(service) + this.ratioOf(service)),
    );
  }

  /** Withdraws one retry, if the balance allows it. */
  tryWithdraw(service: string): boolean {
    const balance = this.balanceOf(service);
    if (balance < 1) return false;
    this.balances.set(service, balance - 1);
    return true;
  }

  private balanceOf(service: string): number {
    return this.balances.get(service) ?? MAX_BALANCE;
  }
}

/** Maximum balance of a service, in retries; also its balance before the first request. */
const MAX_BALANCE = 10;
