import type Batch from './Batch';
import type BatchEntryOptions from './BatchEntryOptions';
import type EntryContext from './EntryContext';

/** Counts and logs an accepted batch. */
export default function recordAccepted(
  { log, metrics }: Pick<BatchEntryOptions, 'log' | 'metrics'>,
  { submission }: Batch,
  context: EntryContext,
): void {
  const { id, queue, steps, waitMs, spentMs } = submission;
  metrics?.add('batches_accepted_total', 1, queue.name);
  log.info('a batch is accepted', {
    request: id,
    queue: queue.name,
    tasks: steps.reduce((sum, { count }) => sum + count, 0),
    estimateMs: steps.map(({ estimateMs }) => estimateMs),
    statedMs: steps.map(({ statedMs }) => statedMs),
    waitMs,
    spentMs,
    ...context,
  });
}
