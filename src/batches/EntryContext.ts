/** State of the entry when it accepts a batch, for logs. */
export default interface EntryContext {
  /** Unique for each start of the process. */
  readonly incarnation: string;
  /** Version of the active configuration. */
  readonly version: number;
  /** Tasks waiting for capacity. */
  readonly queued: number;
  /** Number of linked sidecars. */
  readonly sidecars: number;
  /** Answered batches of the same id that may still have active runs. */
  readonly earlier: number;
}
