/** One version that an operator put in force. */
export default interface Applied {
  readonly version: number;
  /** What went on meanwhile. */
  readonly phase: string;
  /** When the operator began the attempt that succeeded, wall clock in milliseconds. */
  readonly startedAt: number;
}
