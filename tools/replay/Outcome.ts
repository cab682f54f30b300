/** What became of the batches of one queue. */
export default interface Outcome {
  readonly queue: string;
  readonly batches: number;
  readonly inAim: number;
  readonly late: number;
  readonly refused: number;
  /** Answered too late to be of use, given up, or failed. */
  readonly rest: number;
  /** Worth earned over worth owed, 0 to 1. */
  readonly worth: number;
  readonly earned: number;
  readonly owed: number;
}
