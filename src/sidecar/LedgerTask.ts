import type { TaskStatus } from '../gen/magnoliakeel/v1/peer_pb';

/** Ledger record of one attempt of a task, kept from before its start until the job's record expires. */
export default interface LedgerTask {
  readonly index: number;
  readonly attempt: number;
  /** Undefined while the task runs. */
  result?: TaskResult;
}

interface TaskResult {
  readonly status: TaskStatus;
  readonly output: Uint8Array;
  readonly runMs: number;
  readonly reason: string;
}
