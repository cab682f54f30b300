/** An ask for credits that found none. */
interface Ask {
  readonly entry: string;
  readonly wanted: number;
  readonly askedAt: number;
}

/**
 * Asks for credits that found none and stay open for a while, one for each
 * entry. Both sides keep them: the lender to lend once it can, the borrower so
 * as not to ask again meanwhile.
 */
export default class PendingBorrows {
  private readonly asks = new Map<string, Ask>();

  private constructor() {}

  /** Creates a list without asks. */
  static create(): PendingBorrows {
    return new PendingBorrows();
  }

  /** Notes an ask; it replaces an earlier one of the same entry. */
  add(entry: string, wanted: number, askedAt: number): void {
    this.asks.delete(entry);
    this.asks.set(entry, { entry, wanted, askedAt });
  }

  /** Ends the ask of an entry. */
  remove(entry: string): void {
    this.asks.delete(entry);
  }

  /** Takes the oldest ask that is still open. */
  takeOldest(now: number): Ask | undefined {
    this.expire(now);
    const oldest = this.asks.values().next().value;
    if (oldest) this.asks.delete(oldest.entry);
    return oldest;
  }

  /** The entries with an open ask. */
  entries(now: number): ReadonlySet<string> {
    this.expire(now);
    return new Set(this.asks.keys());
  }

  private expire(now: number): void {
    this.asks.forEach(({ entry, askedAt }) => {
      if (now - askedAt >= OPEN_MS) this.asks.delete(entry);
    });
  }
}

/** How long an ask stays open. */
const OPEN_MS = 1000;
