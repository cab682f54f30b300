import type LedgerTask from './LedgerTask';

/** What a sidecar knows of one job: everything of it that was started here. */
export default interface LedgerJob {
  readonly job: string;
  readonly service: string;
  readonly digest: string;
  /** Number of tasks in the whole job. */
  readonly size: number;
  /** When the caller created the job, milliseconds since the epoch. */
  readonly createdMs: number;
  /** Incarnation of the entry that results go to. */
  owner: string;
  readonly tasks: Map<number, LedgerTask>;
}
