import type Recording from './Recording';
import Tally from './Tally';

type RecordedBatch = Recording['batches'][number];

interface WaitingBatch {
  readonly batch: RecordedBatch;
  readonly targetMs: number;
  readonly worthPerWork: number;
  /** Durations of the tasks that have not started, the longest first, ms. */
  readonly remainingMs: number[];
  hasStarted: boolean;
}

/**
 * Computes what perfect knowledge would achieve under the same load: the cores of all healthy backend
 * servers form one pool, durations are known and messages cost nothing. A batch starts only while it can
 * still meet its latency target, and is dropped as soon as it can't. Some orderings prefer batches that
 * have started. A backend server counts by its cores divided by its duration ratio, and long-tail tasks
 * take their usual time. The best of several orderings is returned: a reference to compare policies with,
 * not a proven optimum.
 */
export default function idealTally(recording: Recording): Tally {
  const results = orderings.map((ordering) => simulate(recording, ordering));
  return results.reduce((best, next) => (worthOf(next) > worthOf(best) ? next : best));
}

type Ordering = (a: WaitingBatch, b: WaitingBatch) => number;

const orderings: readonly Ordering[] = [
  (a, b) => b.worthPerWork - a.worthPerWork,
  (a, b) => latestStartOf(a) - latestStartOf(b),
  (a, b) => Number(b.hasStarted) - Number(a.hasStarted) || b.worthPerWork - a.worthPerWork,
  (a, b) => Number(b.hasStarted) - Number(a.hasStarted) || latestStartOf(a) - latestStartOf(b),
];

function simulate(recording: Recording, ordering: Ordering): Tally {
  const tally = Tally.of(recording);
  const ends: { atMs: number; cpuMilli: number }[] = [];
  let waiting: WaitingBatch[] = [];
  let usedMilli = 0;

  const startTasks = (nowMs: number): void => {
    const capacityMilli = capacityAt(recording, nowMs);
    const tooLate = waiting.filter((each) => latestStartOf(each) < nowMs);
    tooLate.forEach(({ batch }) => tally.add(batch, 'refused', nowMs - batch.atMs));
    waiting = waiting.filter((each) => latestStartOf(each) >= nowMs).sort(ordering);
    waiting = waiting.filter((each) => {
      const { batch, remainingMs } = each;
      while (remainingMs.length > 0 && usedMilli + batch.cpuMilli <= capacityMilli) {
        usedMilli += batch.cpuMilli;
        each.hasStarted = true;
        ends.push({ atMs: nowMs + remainingMs.shift()!, cpuMilli: batch.cpuMilli });
      }
      if (remainingMs.length > 0) return true;
      tally.add(batch, 'completed', 0);
      return false;
    });
  };

  const finishUntil = (atMs: number): void => {
    ends.sort((a, b) => a.atMs - b.atMs);
    while (ends.length > 0 && ends[0]!.atMs <= atMs) {
      const end = ends.shift()!;
      usedMilli -= end.cpuMilli;
      startTasks(end.atMs);
      ends.sort((a, b) => a.atMs - b.atMs);
    }
  };

  recording.batches.forEach((batch) => {
    finishUntil(batch.atMs);
    waiting.push(waitingBatchOf(recording, batch));
    startTasks(batch.atMs);
  });
  finishUntil(Infinity);
  waiting.forEach(({ batch }) => tally.add(batch, 'refused', 0));
  return tally;
}

function waitingBatchOf(recording: Recording, batch: RecordedBatch): WaitingBatch {
  const queue = recording.queues[batch.queue]!;
  const work = batch.tasksMs.reduce((sum, ms) => sum + ms, 0) * batch.cpuMilli;
  return {
    batch,
    targetMs: Tally.targetMsOf(batch, queue),
    remainingMs: [...batch.tasksMs].sort((a, b) => b - a),
    hasStarted: false,
    worthPerWork: (Tally.sizeOf(batch, queue) * queue.worth) / Math.max(1, work),
  };
}

/** Latest start of a batch's next task at which the batch still meets its latency target, ms. */
function latestStartOf({ batch, targetMs, remainingMs }: WaitingBatch): number {
  return batch.atMs + targetMs - (remainingMs[0] ?? 0);
}

function capacityAt({ backends, troubles }: Recording, atMs: number): number {
  const isHealthy = (_: unknown, number: number): boolean =>
    !troubles.some((t) => t.backend === number && atMs >= t.fromMs && atMs < t.untilMs);
  return backends
    .filter(isHealthy)
    .reduce((sum, { cpuMilli, speed = 1 }) => sum + cpuMilli / speed, 0);
}

function worthOf({ outcomes }: Tally): number {
  return outcomes.at(-1)?.worth ?? 0;
}
