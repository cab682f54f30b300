/** A manifest version that an operator applied. */
export default interface AppliedChange {
  readonly version: number;
  /** The phase of the measurement in which it was applied. */
  readonly phase: string;
  /** Wall-clock time at which the successful attempt began, in milliseconds. */
  readonly startedAt: number;
}
