import type Batch from './Batch';
import type CrashedRun from './CrashedRun';
import type CrashAttribution from './CrashAttribution';

/**
 * Attributes crashes of several backend servers at about the same time. If more have crashed than
 * tasks can explain, a rack or a zone has lost power. A task that crashes every backend server that
 * starts it shows by its next attempt, and attempts follow one another; so a crash where a task ran
 * that had been at an earlier one is attributed to that task, and only a task's first crash is
 * excused. A batch that ran on several of the backend servers may be one of which every task causes
 * crashes, and is not excused.
 */
export default function attributeCrashes(runs: readonly CrashedRun[]): CrashAttribution {
  const explained = new Set(runs.filter(({ isFirst }) => !isFirst).map(({ sidecar }) => sidecar));
  const unexplained = new Set(
    runs.map(({ sidecar }) => sidecar).filter((sidecar) => !explained.has(sidecar)),
  );
  const sidecarsByBatch = groupSidecarsByBatch(runs);
  const blamed = runs.filter(({ batch }) => sidecarsByBatch.get(batch)!.size > 1);
  if (unexplained.size < MIN_UNEXPLAINED) return { excused: [], blamed };
  const excused = runs.filter(
    ({ batch, isFirst }) => isFirst && sidecarsByBatch.get(batch)!.size === 1,
  );
  return { excused, blamed };
}

/** The sidecars at which runs of each batch were lost. */
function groupSidecarsByBatch(
  runs: readonly CrashedRun[],
): ReadonlyMap<Batch, ReadonlySet<string>> {
  const sidecarsByBatch = new Map<Batch, Set<string>>();
  runs.forEach(({ batch, sidecar }) => {
    sidecarsByBatch.set(batch, (sidecarsByBatch.get(batch) ?? new Set()).add(sidecar));
  });
  return sidecarsByBatch;
}

/**
 * Unexplained crashes from which a common cause is presumed: two may be two tasks, or a task and a
 * fault of a machine.
 */
const MIN_UNEXPLAINED = 3;
