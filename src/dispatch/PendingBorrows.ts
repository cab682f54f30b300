/** A request to lend credits that could not be met at once. */
interface BorrowRequest {
  readonly entry: string;
  readonly wanted: number;
  readonly requestedAt: number;
}

/**
 * Borrow requests that could not be met at once and stay pending for a while,
 * at most one for each entry. The lender keeps them to lend once it can, the
 * borrower so as not to ask again in the meantime.
 */
export default class PendingBorrows {
  private readonly requests = new Map<string, BorrowRequest>();

  private constructor() {}

  /** Creates an empty list. */
  static create(): PendingBorrows {
    return new PendingBorrows();
  }

  /** Adds a request, replacing an earlier one of the same entry. */
  add(entry: string, wanted: number, requestedAt: number): void {
    this.requests.delete(entry);
    this.requests.set(entry, { entry, wanted, requestedAt });
  }

  /** Removes the request of an entry. */
  remove(entry: string): void {
    this.requests.delete(entry);
  }

  /** Removes and returns the oldest pending request. */
  takeOldest(now: number): BorrowRequest | undefined {
    this.expire(now);
    const oldest = this.requests.values().next().value;
    if (oldest) this.requests.delete(oldest.entry);
    return oldest;
  }

  /** The entries with a pending request. */
  entries(now: number): ReadonlySet<string> {
    this.expire(now);
    return new Set(this.requests.keys());
  }

  private expire(now: number): void {
    this.requests.forEach(({ entry, requestedAt }) => {
      if (now - requestedAt >= PENDING_MS) this.requests.delete(entry);
    });
  }
}

/** How long a request stays pending. */
const PENDING_MS = 1000;
