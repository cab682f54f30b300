import faultLimits from './faultLimits';

/**
 * Decides whether errors come again and again: not by how many there are, since one event may bring
 * very many, but by in how many slices of the last time there were any.
 */
export default class FaultRate {
  /** Errors by slice, the oldest first. */
  private readonly slices = new Map<number, number>();

  private constructor() {}

  /** Creates it for a process without an error. */
  static create(): FaultRate {
    return new FaultRate();
  }

  /** Notes an error; returns how many there are in its slice of time, itself included. */
  take(atMs: number): number {
    this.forgetBefore(atMs);
    const slice = sliceOf(atMs);
    const count = (this.slices.get(slice) ?? 0) + 1;
    this.slices.set(slice, count);
    return count;
  }

  /** Whether they come again and again, as it looks now. */
  isTooOften(nowMs: number): boolean {
    this.forgetBefore(nowMs);
    return this.slices.size >= faultLimits.slices;
  }

  private forgetBefore(nowMs: number): void {
    const oldest = sliceOf(nowMs - faultLimits.windowMs);
    [...this.slices.keys()]
      .filter((slice) => slice <= oldest)
      .forEach((slice) => this.slices.delete(slice));
  }
}

function sliceOf(atMs: number): number {
  return Math.floor(atMs / faultLimits.sliceMs);
}
