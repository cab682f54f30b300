/** A job that a caller submits. */
export default interface Job {
  readonly id: string;
  readonly body: string;
  readonly tasks: readonly string[];
  /** Deadline that its caller states, ms after sending. */
  readonly deadlineMs: number;
}
