/** What every response to a caller has. */
export default interface ResponseBody {
  readonly status: number;
  /** Name of the outcome. */
  readonly outcome: string;
  readonly body: Buffer;
  /** When the caller may come back; 0 when nothing is gained by it. */
  readonly retryAfterMs: number;
}
