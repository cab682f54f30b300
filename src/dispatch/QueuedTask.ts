import type { TaskResult } from '../gen/magnoliakeel/v1/peer_pb';

/** A task that the owner of its job wants started, with the fields of its start message. */
export default interface QueuedTask {
  readonly job: string;
  readonly index: number;
  readonly service: string;
  readonly team: string;
  readonly input: Uint8Array;
  readonly digest: string;
  readonly jobSize: number;
  readonly createdMs: bigint;
  readonly timeoutMs: number;
  readonly traceparent: string;
  /** Whether a lost attempt may be followed by another one. */
  readonly retryable: boolean;
  /** When the task was queued, by the timer service. */
  readonly queuedAt: number;
  /** When and why the task was queued again, if it was. */
  requeued?: { readonly at: number; readonly reason: string };
  /** Incremented with each attempt of a retryable task; 0 for tasks of jobs. */
  attempt: number;
  /** Whether its result is still needed. */
  readonly isWanted: () => boolean;
  /** Called when a start is about to be sent to the given sidecar. */
  readonly onStarting: (sidecar: string) => void;
  /** Called when a start is certain not to have run, before the task is queued again. */
  readonly onNotStarted: () => void;
  /** Called once, with the result. */
  readonly onSettled: (result: TaskResult) => void;
}
