/** Fields that every caller's request has, with defaults filled in. */
export default interface CommonFields {
  readonly team: string;
  /** Milliseconds until the caller's deadline; 0 if it gave none. */
  readonly deadlineMs: number;
  /** How long the caller waits for the answer, ms, at most the service's job timeout. */
  readonly waitMs: number;
  readonly traceparent: string;
}
