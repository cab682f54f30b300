/** The state of one service at one entry. */
export default interface ServiceStatus {
  readonly service: string;
  /** Unused credits that the entry holds. */
  readonly idle: number;
  /** Tasks waiting for a credit. */
  readonly queued: number;
  /** Age of the oldest waiting task, in milliseconds. */
  readonly oldestWaitMs: number;
  /** Teams with tasks of the service at the entry. */
  readonly teams: readonly {
    readonly team: string;
    readonly running: number;
    readonly queued: number;
  }[];
}
