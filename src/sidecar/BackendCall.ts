/** One task as it is handed to a backend server. */
export default interface BackendCall {
  /** "job/index/attempt", the same for every process that speaks of this start. */
  readonly task: string;
  readonly input: Uint8Array;
  /** Time after which the answer is not awaited any more; the backend server may stop then. */
  readonly timeoutMs: number;
  readonly traceparent: string;
}
