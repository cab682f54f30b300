/** The operators' configuration of one kind of batch. */
export default interface Queue {
  readonly name: string;
  /** Requests with this host, and a path that starts with the prefix, belong to this queue. */
  readonly host: string;
  readonly prefix: string;
  /** The service whose backend servers run its tasks. */
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Number of failed runs of a task after which the batch fails. */
  readonly maxAttempts: number;
  /** Longest time to an answer, ms. */
  readonly timeoutMs: number;
  /** The latency target is this many times the batch's critical path, plus `targetLatencyMs`. */
  readonly stretch: number;
  readonly targetLatencyMs: number;
}
