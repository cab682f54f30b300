import type Resources from '../room/Resources';

/** The free and the total capacity of a backend server. */
interface BackendCapacity {
  readonly free: Resources;
  readonly capacity: Resources;
}

/**
 * Whether the reserve is left free at a backend server when a task starts there. The reserve is for bursts of
 * long work at low urgency: long tasks that have started keep their capacity, and urgent short tasks would have
 * to wait for their end. Where the task and the reserve together exceed the total capacity, the task goes
 * first, as it would never start otherwise.
 */
export default function leavesReserve(
  { free, capacity }: BackendCapacity,
  needs: Resources,
  reserveMilli: number,
): boolean {
  const required = needs.cpuMilli + reserveMilli;
  return capacity.cpuMilli < required || free.cpuMilli >= required;
}
