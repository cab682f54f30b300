import uncaughtErrorLimits from './uncaughtErrorLimits';

/**
 * Detects errors that keep occurring. It does not count single errors, since one event may cause very
 * many, but the time slices of the recent window in which there were any.
 */
export default class ErrorRate {
  /** Number of errors by slice, oldest first. */
  private readonly slices = new Map<number, number>();

  private constructor() {}

  /** Creates a rate without errors. */
  static create(): ErrorRate {
    return new ErrorRate();
  }

  /** Records an error; returns the number of errors in its time slice, itself included. */
  add(atMs: number): number {
    this.removeExpired(atMs);
    const slice = sliceOf(atMs);
    const count = (this.slices.get(slice) ?? 0) + 1;
    this.slices.set(slice, count);
    return count;
  }

  /** Whether errors keep occurring, judged by the window that ends now. */
  isPersistent(nowMs: number): boolean {
    this.removeExpired(nowMs);
    return this.slices.size >= uncaughtErrorLimits.persistentSlices;
  }

  private removeExpired(nowMs: number): void {
    const oldest = sliceOf(nowMs - uncaughtErrorLimits.windowMs);
    [...this.slices.keys()]
      .filter((slice) => slice <= oldest)
      .forEach((slice) => this.slices.delete(slice));
  }
}

function sliceOf(atMs: number): number {
  return Math.floor(atMs / uncaughtErrorLimits.sliceMs);
}
