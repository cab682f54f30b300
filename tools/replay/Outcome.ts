/** Results of the batches of one queue. */
export default interface Outcome {
  readonly queue: string;
  readonly batches: number;
  /** Answered within the latency target. */
  readonly onTime: number;
  /** Answered after the target, but before expiry. */
  readonly late: number;
  readonly refused: number;
  /** Answered after their expiry, given up, or failed. */
  readonly rest: number;
  /** Worth earned divided by the attainable worth, 0 to 1. */
  readonly worth: number;
  readonly earned: number;
  readonly attainable: number;
}
