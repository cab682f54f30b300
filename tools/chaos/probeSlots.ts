import type TimerService from '../../src/core/TimerService';
import type EntryClient from './EntryClient';
import type Journal from './Journal';
import type Work from './Work';

const TASK_MS = 2000;
const TRIES = 5;
const PAUSE_MS = 1000;

/**
 * Submits a job with a task for each slot and returns how many slots did not
 * start one while the first task ran. Some tries are made, since processes may
 * just have come back.
 */
export default async function probeSlots(
  client: EntryClient,
  entries: readonly string[],
  slots: number,
  journal: Journal,
  timer: TimerService,
): Promise<number> {
  let missing = slots;
  for (let attempt = 0; attempt < TRIES && missing > 0; attempt += 1) {
    const work = probe(slots, attempt);
    journal.works.push(work);
    const answer = await client.submit(work, entries[attempt % entries.length]!);
    work.final = answer.outcome;
    work.finalAt = answer.endedAt;
    missing = slots - startedTogether(journal, work);
    if (missing > 0) await timer.sleep(PAUSE_MS);
  }
  return missing;
}

function probe(slots: number, attempt: number): Work {
  const time = Date.now().toString(16).padStart(12, '0');
  return {
    id: `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-00000000000${attempt}`,
    ...{ kind: 'job', keyed: true, idempotent: false, taskMs: Array(slots).fill(TASK_MS) },
    ...{ madeAt: performance.now(), attempts: [], finalAt: undefined, final: undefined },
  };
}

function startedTogether({ starts }: Journal, { id }: Work): number {
  const own = starts.filter((start) => start.id === id);
  const first = Math.min(...own.map(({ at }) => at));
  return own.filter(({ at }) => at < first + TASK_MS).length;
}
