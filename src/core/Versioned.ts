import type TimerService from './TimerService';

/**
 * A value that only moves forward. Each value has a number; a value with the
 * same or a lower number is ignored, so that nothing ever reverts to an older one.
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

  /** Creates a holder with its first value and the way to read a value's number. */
  static of<T>(first: T, numberOf: (value: T) => bigint): Versioned<T> {
    return new Versioned(first, numberOf);
  }

  /** The newest value seen. */
  get current(): T {
    return this.value;
  }

  /** The newest value's number. */
  get number(): bigint {
    return this.numberOf(this.value);
  }

  /** Takes the value when it is newer, tells the subscribers, and says whether it did. */
  adopt(value: T): boolean {
    if (this.numberOf(value) <= this.number) return false;
    this.value = value;
    [...this.handlers].forEach((handler) => handler(value));
    return true;
  }

  /** Resolves once a value of this number or a newer one is there, or with false after the delay. */
  async reached(number: bigint, timer: TimerService, limitMs: number): Promise<boolean> {
    if (this.number >= number) return true;
    const there = new AbortController();
    const unsubscribe = this.subscribe(() => {
      if (this.number >= number) there.abort();
    });
    await timer.sleep(limitMs, there.signal);
    unsubscribe();
    return there.signal.aborted;
  }

  /** Calls the handler with each newer value; returns the way to end that. */
  subscribe(handler: (value: T) => void): () => void {
    this.handlers.add(handler);
    return () => this.handlers.delete(handler);
  }
}
