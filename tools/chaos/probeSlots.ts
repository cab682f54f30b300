import type TimerService from '../../src/core/TimerService';
import type EntryClient from './EntryClient';
import type Journal from './Journal';
import type WorkItem from './WorkItem';

const TASK_MS = 2000;
const MAX_ATTEMPTS = 5;
const RETRY_MS = 1000;

/**
 * Submits a job with one task per slot, and returns the number of slots that did not
 * start a task while the first one was running. Makes several attempts, because
 * processes may have restarted only just before.
 */
export default async function probeSlots(
  client: EntryClient,
  entries: readonly string[],
  slots: number,
  journal: Journal,
  timer: TimerService,
): Promise<number> {
  let missing = slots;
  for (let attempt = 0; attempt < MAX_ATTEMPTS && missing > 0; attempt += 1) {
    const work = createProbe(slots, attempt);
    journal.workItems.push(work);
    const answer = await client.submit(work, entries[attempt % entries.length]!);
    work.finalOutcome = answer.outcome;
    work.finalAt = answer.endedAt;
    missing = slots - countConcurrentStarts(journal, work);
    if (missing > 0) await timer.sleep(RETRY_MS);
  }
  return missing;
}

function createProbe(slots: number, attempt: number): WorkItem {
  const time = Date.now().toString(16).padStart(12, '0');
  return {
    id: `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-00000000000${attempt}`,
    ...{ kind: 'job', keyed: true, idempotent: false, taskMs: Array(slots).fill(TASK_MS) },
    ...{ createdAt: performance.now(), attempts: [], finalAt: undefined, finalOutcome: undefined },
  };
}

function countConcurrentStarts({ starts }: Journal, { id }: WorkItem): number {
  const probeStarts = starts.filter((start) => start.id === id);
  const first = Math.min(...probeStarts.map(({ at }) => at));
  return probeStarts.filter(({ at }) => at < first + TASK_MS).length;
}
