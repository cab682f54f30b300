/** What the operators have set for one kind of batch. */
export default interface Queue {
  readonly name: string;
  /** Requests with this host, and a path that begins with the prefix, are for this queue. */
  readonly host: string;
  readonly prefix: string;
  /** The service whose backend servers run its tasks. */
  readonly service: string;
  /** 0 comes first. */
  readonly priority: number;
  /** Runs of a task that may end as failed before the batch fails. */
  readonly maxAttempts: number;
  /** The longest time to an answer, ms. */
  readonly timeoutMs: number;
  /** A batch is answered well within this many times its longest chain of work, and `targetLatencyMs` more. */
  readonly stretch: number;
  readonly targetLatencyMs: number;
}
