/** One HTTP request of a caller about a piece of work, and what came back. */
export default interface Attempt {
  readonly entry: string;
  readonly action: 'submit' | 'cancel';
  /** Monotonic milliseconds. */
  readonly sentAt: number;
  endedAt: number | undefined;
  /** The outcome of the answer; `refused`, `broken` and `overdue` are the caller's own words. */
  outcome: string;
  reason: string;
  /** When the answer says to come back, milliseconds; 0 when it does not say. */
  retryAfterMs: number;
  /** The outputs of a completed answer, in order. */
  outputs: readonly unknown[];
}
