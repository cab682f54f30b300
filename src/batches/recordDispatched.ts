import type Batch from './Batch';
import type BatchEntryOptions from './BatchEntryOptions';
import type DispatchedStart from './DispatchedStart';

/**
 * Counts and logs the starts of a batch that were dispatched in one pass, with what each decision
 * was based on.
 */
export default function recordDispatched(
  { timer, log, metrics }: Pick<BatchEntryOptions, 'timer' | 'log' | 'metrics'>,
  { id, submission }: Batch,
  starts: readonly DispatchedStart[],
): void {
  const now = timer.now();
  const { name } = submission.queue;
  metrics?.add('runs_ordered_total', starts.length, name);
  starts.forEach(({ task, durationRatios }) => {
    metrics?.add('runs_by_speed_total', 1, speedLabel(durationRatios.machine));
    metrics?.record('batch_wait_seconds', (now - (task.readyAt ?? now)) / SECOND_MS, name);
  });
  log.info('starts are ordered', {
    request: id,
    waitedMs: Math.round(now - (starts[0]?.task.readyAt ?? now)),
    starts: starts.map(({ task, peer, freeMilli, durationRatios }) => ({
      step: task.stepNumber,
      index: task.index,
      attempt: task.attempt,
      sidecar: peer.instance,
      freeMilli,
      ...(durationRatios.machine !== 1 && { speed: Number(durationRatios.machine.toFixed(2)) }),
      ...(durationRatios.distance !== 1 && { remote: durationRatios.distance }),
      reportAgeMs: Math.round(peer.reportAgeMs),
    })),
  });
}

function speedLabel(ratio: number): string {
  if (ratio === 1) return 'middling';
  return ratio < 1 ? 'fast' : 'slow';
}

const SECOND_MS = 1_000;
