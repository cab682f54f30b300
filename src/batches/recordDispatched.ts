import type Batch from './Batch';
import type BatchEntryOptions from './BatchEntryOptions';
import type DispatchedStart from './DispatchedStart';

/** Counts and logs the starts of a batch that were ordered in one turn, with what each was decided by. */
export default function recordDispatched(
  { timer, log, metrics }: Pick<BatchEntryOptions, 'timer' | 'log' | 'metrics'>,
  { id, submission }: Batch,
  starts: readonly DispatchedStart[],
): void {
  const now = timer.now();
  const { name } = submission.queue;
  metrics?.add('runs_ordered_total', starts.length, name);
  starts.forEach(({ task, durationRatios: there }) => {
    metrics?.add('runs_by_speed_total', 1, speedName(there.machine));
    metrics?.record('batch_wait_seconds', (now - (task.readyAt ?? now)) / SECOND_MS, name);
  });
  log.info('starts are ordered', {
    request: id,
    waitedMs: Math.round(now - (starts[0]?.task.readyAt ?? now)),
    starts: starts.map(({ task, peer, freeMilli, durationRatios: there }) => ({
      step: task.stepNumber,
      index: task.index,
      attempt: task.attempt,
      sidecar: peer.instance,
      freeMilli,
      ...(there.machine !== 1 && { speed: Number(there.machine.toFixed(2)) }),
      ...(there.distance !== 1 && { remote: there.distance }),
      reportAgeMs: Math.round(peer.reportAgeMs),
    })),
  });
}

function speedName(times: number): string {
  if (times === 1) return 'middling';
  return times < 1 ? 'fast' : 'slow';
}

const SECOND_MS = 1_000;
