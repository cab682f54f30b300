/** The result of sending a job once. */
export default interface SendResult {
  /** HTTP status; 0 if there was no answer. */
  readonly status: number;
  readonly text: string;
  /** Whether the connection was refused, so that nothing was sent. */
  readonly isUnsent: boolean;
  /** Whether the connection was reset on the caller's side. */
  readonly isReset: boolean;
}
