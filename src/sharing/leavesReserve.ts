import type Resources from '../room/Resources';

/** What is free at a backend server, and all that it has. */
interface BackendCapacity {
  readonly free: Resources;
  readonly capacity: Resources;
}

/**
 * Whether enough is left free at a backend server when a task starts there. It answers bursts of long work under short
 * urgent work: what has started holds its room for long, and the urgent would wait for its end. Where a task and the
 * reserve are more than the backend server has at all, the task goes first: it would never start.
 */
export default function leavesReserve(
  { free, capacity }: BackendCapacity,
  needs: Resources,
  reserveMilli: number,
): boolean {
  const wanted = needs.cpuMilli + reserveMilli;
  return capacity.cpuMilli < wanted || free.cpuMilli >= wanted;
}
