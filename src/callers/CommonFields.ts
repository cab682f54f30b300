/** What every request of a caller says or leaves to defaults. */
export default interface CommonFields {
  readonly team: string;
  /** Milliseconds until the caller's deadline; 0 when it gave none. */
  readonly deadlineMs: number;
  /** How long the caller waits for the answer, at most as long as a job may take. */
  readonly waitMs: number;
  readonly traceparent: string;
}
