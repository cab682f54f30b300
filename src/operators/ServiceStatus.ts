/** A service at one entry. */
export default interface ServiceStatus {
  readonly service: string;
  /** Credits that the entry holds and does not use. */
  readonly idle: number;
  /** Tasks waiting for a credit. */
  readonly queued: number;
  /** Age of the oldest waiting task, in milliseconds. */
  readonly oldestWaitMs: number;
  /** The teams with tasks there. */
  readonly teams: readonly {
    readonly team: string;
    readonly running: number;
    readonly queued: number;
  }[];
}
