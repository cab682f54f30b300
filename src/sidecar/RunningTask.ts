import type Subscription from '../core/Subscription';
import type { TaskId } from '../gen/magnoliakeel/v1/peer_pb';
import type LedgerTask from './LedgerTask';
import type TaskTrace from './TaskTrace';

/** A task that the backend server has and whose slot is taken. */
export default interface RunningTask {
  readonly id: TaskId;
  readonly record: LedgerTask;
  readonly service: string;
  readonly slot: number;
  /** Incarnation of the entry whose credit was used. */
  readonly user: string;
  readonly startedAt: number;
  /** Ends the call to the backend server. */
  readonly call: AbortController;
  readonly timeout: Subscription;
  /** Its spans, when it is traced. */
  readonly trace: TaskTrace | undefined;
}
