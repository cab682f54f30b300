/** A request or a job that a caller submits at a given time, whatever became of earlier ones. */
export default interface Arrival {
  /** Milliseconds since the start of the load. */
  readonly atMs: number;
  readonly kind: 'request' | 'job';
  /** How long each task runs, in milliseconds. */
  readonly runs: readonly number[];
  readonly team: string;
  /** Place in the list of entries of the one that the balancer picks. */
  readonly entry: number;
  /** The caller cancels this long after submission. */
  readonly cancelAfterMs?: number;
  /** False for arrivals that only warm the processes up. */
  readonly measured: boolean;
}
