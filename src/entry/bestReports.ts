import { TaskStatus } from '../gen/magnoliakeel/v1/peer_pb';
import type LocatedTask from '../recovery/LocatedTask';

/**
 * The most conclusive report of each task, by task index: a finished attempt before a running one, both before a lost
 * one.
 */
export default function bestReports(
  reports: readonly LocatedTask[],
): ReadonlyMap<number, LocatedTask> {
  const best = new Map<number, LocatedTask>();
  reports.forEach((located) => {
    const known = best.get(located.held.index);
    if (!known || rankOf(located) > rankOf(known)) best.set(located.held.index, located);
  });
  return best;
}

function rankOf({ held }: LocatedTask): number {
  if (held.running) return 1;
  return held.status === TaskStatus.COMPLETED || held.status === TaskStatus.FAILED ? 2 : 0;
}
