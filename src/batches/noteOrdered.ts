import type Batch from './Batch';
import type BatchEntryOptions from './BatchEntryOptions';
import type OrderedStart from './OrderedStart';

/** Counts and logs the starts of a batch that were ordered in one turn, with what each was decided by. */
export default function noteOrdered(
  { timer, log, metrics }: Pick<BatchEntryOptions, 'timer' | 'log' | 'metrics'>,
  { id, submission }: Batch,
  starts: readonly OrderedStart[],
): void {
  const now = timer.now();
  const { name } = submission.queue;
  metrics?.add('runs_ordered_total', starts.length, name);
  starts.forEach(({ task }) => {
    metrics?.record('batch_wait_seconds', (now - (task.readyAt ?? now)) / SECOND_MS, name);
  });
  log.info('starts are ordered', {
    request: id,
    waitedMs: Math.round(now - (starts[0]?.task.readyAt ?? now)),
    starts: starts.map(({ task, peer, freeMilli }) => ({
      step: task.stepNumber,
      index: task.index,
      attempt: task.attempt,
      sidecar: peer.instance,
      freeMilli,
      reportAgeMs: Math.round(peer.reportAgeMs),
    })),
  });
}

const SECOND_MS = 1_000;
