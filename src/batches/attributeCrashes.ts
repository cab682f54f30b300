import type Batch from './Batch';
import type CrashedRun from './CrashedRun';
import type CrashAttribution from './CrashAttribution';

/**
 * Who is suspected when several backend servers crash at about the same time. Where more have crashed than tasks
 * explain, a rack or a zone has lost power. A task that crashes what starts it shows by its next attempt, and these
 * follow one another; so a crash at which a task was there that had been at one before counts as that task's,
 * and only a task's first crash is excused. A batch that was at several of the backend servers may be one of which
 * every task crashes what starts it, and is not excused.
 */
export default function attributeCrashes(runs: readonly CrashedRun[]): CrashAttribution {
  const followed = new Set(runs.filter(({ isFirst }) => !isFirst).map(({ sidecar }) => sidecar));
  const unexplained = new Set(
    runs.map(({ sidecar }) => sidecar).filter((sidecar) => !followed.has(sidecar)),
  );
  const places = placesOf(runs);
  const blamed = runs.filter(({ batch }) => places.get(batch)!.size > 1);
  if (unexplained.size < FEWEST_TOGETHER) return { excused: [], blamed };
  const excused = runs.filter(({ batch, isFirst }) => isFirst && places.get(batch)!.size === 1);
  return { excused, blamed };
}

/** The sidecars at which runs of each batch were lost. */
function placesOf(runs: readonly CrashedRun[]): ReadonlyMap<Batch, ReadonlySet<string>> {
  const places = new Map<Batch, Set<string>>();
  runs.forEach(({ batch, sidecar }) => {
    places.set(batch, (places.get(batch) ?? new Set()).add(sidecar));
  });
  return places;
}

/** Backend servers that crash together by one cause: two may be two tasks, or a task and a fault of a machine. */
const FEWEST_TOGETHER = 3;
