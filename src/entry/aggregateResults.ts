import { create } from '@bufbuild/protobuf';
import {
  type Answer,
  AnswerSchema,
  Outcome,
  type TaskResult,
  TaskStatus,
} from '../gen/magnoliakeel/v1/peer_pb';

/**
 * Derives a job's answer from its results so far; undefined while the job is open.
 * A job is completed only if every task is completed. It ends at the first result
 * that rules this out, without waiting for the others.
 */
export default function aggregateResults(
  results: readonly (TaskResult | undefined)[],
  finished: number,
  hasStartedTasks: boolean,
): Answer | undefined {
  const size = results.length;
  const failure = results.find((result) => result && result.status !== TaskStatus.COMPLETED);
  if (failure) {
    const outcome =
      failure.status === TaskStatus.NOT_RUN && hasStartedTasks
        ? Outcome.FAILED
        : outcomes[failure.status];
    const reason = `task ${failure.index}: ${failure.reason || reasons[failure.status]}`;
    return create(AnswerSchema, { outcome, reason, size, finished });
  }
  if (finished < size) return undefined;
  const completed = results.filter((result) => result !== undefined);
  return create(AnswerSchema, { outcome: Outcome.COMPLETED, results: completed, size, finished });
}

const outcomes: Record<TaskStatus, Outcome> = {
  [TaskStatus.UNSPECIFIED]: Outcome.UNKNOWN,
  [TaskStatus.COMPLETED]: Outcome.COMPLETED,
  [TaskStatus.FAILED]: Outcome.FAILED,
  [TaskStatus.LOST]: Outcome.UNKNOWN,
  [TaskStatus.TIMED_OUT]: Outcome.UNKNOWN,
  [TaskStatus.CANCELLED]: Outcome.UNKNOWN,
  [TaskStatus.NOT_RUN]: Outcome.NOT_RUN,
};

const reasons: Record<TaskStatus, string> = {
  [TaskStatus.UNSPECIFIED]: 'no status was reported',
  [TaskStatus.COMPLETED]: 'completed',
  [TaskStatus.FAILED]: 'the backend server answered with a failure',
  [TaskStatus.LOST]: 'it may have run; its result is lost',
  [TaskStatus.TIMED_OUT]: 'it did not finish within its timeout',
  [TaskStatus.CANCELLED]: 'it was cancelled while it ran',
  [TaskStatus.NOT_RUN]: 'it was not run',
};
