import type Subscription from '../core/Subscription';
import type { TaskId } from '../gen/magnoliakeel/v1/peer_pb';
import type LedgerTask from './LedgerTask';
import type TaskTrace from './TaskTrace';

/** A task that was sent to the backend server and occupies a slot. */
export default interface RunningTask {
  readonly id: TaskId;
  readonly record: LedgerTask;
  readonly service: string;
  readonly slot: number;
  /** Incarnation of the entry that started the task and whose credit it used. */
  readonly startedBy: string;
  /** Time of the start, on the process's timer. */
  readonly startedAt: number;
  /** Asks the backend server to stop, by half-closing the connection. */
  readonly callAbort: AbortController;
  /** Reports the task as timed out; the call goes on. */
  readonly timeout: Subscription;
  /** Spans of the start; undefined when it is not traced. */
  readonly trace: TaskTrace | undefined;
}
