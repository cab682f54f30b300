import type Random from '../../src/core/Random';
import type WorkItem from './WorkItem';

const JOB_SHARE = 0.5;
const KEYED_SHARE = 0.6;
const IDEMPOTENT_SHARE = 0.5;
const MAX_TASKS = 40;
const MIN_TASK_MS = 20;
const MAX_TASK_MS = 300;

/** Creates a random work item: a job, or a single request with or without a key, idempotent or not. */
export default function createWorkItem(random: Random): WorkItem {
  const isJob = random.unit() < JOB_SHARE;
  const isKeyed = random.unit() < KEYED_SHARE;
  const isIdempotent = random.unit() < IDEMPOTENT_SHARE;
  const size = isJob ? 1 + random.below(MAX_TASKS) : 1;
  return {
    id: newId(random),
    kind: isJob ? 'job' : 'request',
    keyed: isJob || isKeyed,
    idempotent: !isJob && isIdempotent,
    taskMs: Array.from({ length: size }, () => MIN_TASK_MS + random.below(TASK_MS_RANGE)),
    createdAt: performance.now(),
    attempts: [],
    finalAt: undefined,
    finalOutcome: undefined,
  };
}

const TASK_MS_RANGE = MAX_TASK_MS - MIN_TASK_MS;

/** A UUIDv7 with the current time. */
function newId(random: Random): string {
  const time = Date.now().toString(16).padStart(12, '0');
  const hex = (digits: number) =>
    Array.from({ length: digits }, () => random.below(16).toString(16)).join('');
  return `${time.slice(0, 8)}-${time.slice(8)}-7${hex(3)}-8${hex(3)}-${hex(12)}`;
}
