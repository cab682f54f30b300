/** Parts that every response to a caller has. */
export default interface CallerResponse {
  readonly status: number;
  /** Name of the outcome. */
  readonly outcome: string;
  readonly body: Buffer;
  /** Delay after which the caller may retry, ms; 0 if a retry is of no use. */
  readonly retryAfterMs: number;
}
