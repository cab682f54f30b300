/** What an entry knows when it accepts a batch. */
export default interface EntryContext {
  /** The run of this process. */
  readonly incarnation: string;
  /** Version of the configuration in force. */
  readonly version: number;
  /** Tasks that wait for room. */
  readonly queued: number;
  /** Sidecars linked. */
  readonly sidecars: number;
  /** Earlier batches of the same id of which something may still run. */
  readonly earlier: number;
}
