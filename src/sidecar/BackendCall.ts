/** One task as it is sent to a backend server. */
export default interface BackendCall {
  /** "job/index/attempt"; all processes identify the attempt by this name. */
  readonly task: string;
  readonly input: Uint8Array;
  /** Time after which the sidecar reports a timeout, milliseconds; the backend server may stop then. */
  readonly timeoutMs: number;
  /** W3C trace context; empty when the task is not traced. */
  readonly traceparent: string;
}
