/** A request or a job that a caller submits at a scheduled time, independently of earlier ones (open-loop load). */
export default interface Arrival {
  /** Milliseconds since the start of the load. */
  readonly atMs: number;
  readonly kind: 'request' | 'job';
  /** Run time of each task, in milliseconds. */
  readonly taskRunMs: readonly number[];
  readonly team: string;
  /** Index of the entry that the load balancer picks. */
  readonly entry: number;
  /** Time from submission to the caller's cancellation, in milliseconds. */
  readonly cancelAfterMs?: number;
  /** False during the warm-up. */
  readonly measured: boolean;
}
