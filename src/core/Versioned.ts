import type TimerService from './TimerService';

/**
 * Holds the newest version of a value. Each version has a number; one with the same
 * or a lower number is ignored, so that the value never reverts to an older version.
 */
export default class Versioned<T> {
  private readonly handlers = new Set<(value: T) => void>();

  private value: T;

  private constructor(
    first: T,
    private readonly numberOf: (value: T) => bigint,
  ) {
    this.value = first;
  }

  /** Creates a holder with its first value and the function that returns a value's number. */
  static of<T>(first: T, numberOf: (value: T) => bigint): Versioned<T> {
    return new Versioned(first, numberOf);
  }

  /** The newest value. */
  get current(): T {
    return this.value;
  }

  /** The newest value's number. */
  get number(): bigint {
    return this.numberOf(this.value);
  }

  /** Replaces the value if the given one is newer, and notifies the subscribers; returns whether it did. */
  adopt(value: T): boolean {
    if (this.numberOf(value) <= this.number) return false;
    this.value = value;
    [...this.handlers].forEach((handler) => handler(value));
    return true;
  }

  /** Resolves with true once the value has this number or a higher one, or with false after the limit. */
  async waitForNumber(number: bigint, timer: TimerService, limitMs: number): Promise<boolean> {
    if (this.number >= number) return true;
    const reachedNumber = new AbortController();
    const unsubscribe = this.subscribe(() => {
      if (this.number >= number) reachedNumber.abort();
    });
    await timer.sleep(limitMs, reachedNumber.signal);
    unsubscribe();
    return reachedNumber.signal.aborted;
  }

  /** Calls the handler with each newer value; returns a function that ends the subscription. */
  subscribe(handler: (value: T) => void): () => void {
    this.handlers.add(handler);
    return () => this.handlers.delete(handler);
  }
}
