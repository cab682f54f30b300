/** One HTTP request of a caller for a work item, and its answer. */
export default interface CallerAttempt {
  readonly entry: string;
  readonly action: 'submit' | 'cancel';
  /** Monotonic time, in milliseconds. */
  readonly sentAt: number;
  endedAt: number | undefined;
  /** Outcome named by the answer, or `refused`, `broken` or `overdue` if the caller received no answer. */
  outcome: string;
  reason: string;
  /** Delay after which the answer asks for a retry, in milliseconds; 0 if it gives none. */
  retryAfterMs: number;
  /** Outputs of a completed answer, in task order. */
  outputs: readonly unknown[];
}
