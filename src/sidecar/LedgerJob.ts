import type LedgerTask from './LedgerTask';

/** Ledger record of one job: all of its task attempts that were started at this sidecar. */
export default interface LedgerJob {
  readonly job: string;
  readonly service: string;
  readonly digest: string;
  /** Number of tasks in the whole job. */
  readonly size: number;
  /** When the caller created the job, milliseconds since the epoch. */
  readonly createdMs: number;
  /** Incarnation of the entry that owns the job and receives its results. */
  owner: string;
  /** Attempts by the ledger's task key. */
  readonly tasks: Map<number, LedgerTask>;
}
