import outcomeTable from '../callers/outcomeTable';
import { type InspectResponse, TaskStatus } from '../gen/magnoliakeel/v1/peer_pb';
import type JobReport from './JobReport';

/** Describes an entry's record of a job; undefined when the entry has none. */
export default function describeHolder({
  instance,
  job,
  places,
}: InspectResponse): JobReport['holders'][number] | undefined {
  if (!job) return undefined;
  const { outcome, reason, size, finished, results } = job;
  const statuses = new Map(results.map(({ index, status }) => [index, status]));
  return {
    entry: instance,
    outcome: outcomeTable[outcome].name,
    reason,
    size,
    finished: Math.max(finished, results.length),
    tasks: places.map(({ index, sidecar, status }) => ({
      index,
      sidecar,
      status: statusName(statuses.get(index) ?? status, sidecar),
    })),
  };
}

function statusName(status: TaskStatus, sidecar: string): string {
  if (status !== TaskStatus.UNSPECIFIED) return TASK_NAMES[status];
  return sidecar === '' ? 'waiting' : 'started';
}

const TASK_NAMES: Readonly<Record<TaskStatus, string>> = {
  [TaskStatus.UNSPECIFIED]: 'waiting',
  [TaskStatus.COMPLETED]: 'completed',
  [TaskStatus.FAILED]: 'failed',
  [TaskStatus.LOST]: 'lost',
  [TaskStatus.TIMED_OUT]: 'timed-out',
  [TaskStatus.CANCELLED]: 'cancelled',
  [TaskStatus.NOT_RUN]: 'not-run',
};
