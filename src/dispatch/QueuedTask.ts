import type { TaskResult } from '../gen/magnoliakeel/v1/peer_pb';

/** One task that an owner wants started, with what its start says of the job. */
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
  /** When the task joined the queue, by the timer service. */
  readonly queuedAt: number;
  /** Set when the task had to be queued again: when, and why. */
  requeued?: { readonly at: number; readonly because: string };
  /** Grows with each attempt of a retryable task; 0 for tasks of jobs. */
  attempt: number;
  /** Whether its result can still matter. */
  readonly isWanted: () => boolean;
  /** Told once a start is about to be sent to the sidecar named. */
  readonly onStarting: (sidecar: string) => void;
  /** Told once a start was proven not to have run, before the task is queued again. */
  readonly onNotStarted: () => void;
  /** Told the result, once. */
  readonly onSettled: (result: TaskResult) => void;
}
