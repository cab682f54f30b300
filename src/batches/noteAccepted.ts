import type Batch from './Batch';
import type BatchEntryOptions from './BatchEntryOptions';

/** What an entry knows when it accepts a batch. */
interface Circumstances {
  /** Version of the configuration in force. */
  readonly version: number;
  /** Tasks that wait for room. */
  readonly queued: number;
  /** Sidecars linked. */
  readonly sidecars: number;
  /** Earlier batches of the same id of which something may still run. */
  readonly earlier: number;
}

/** Counts and logs a batch that was accepted. */
export default function noteAccepted(
  { log, metrics }: Pick<BatchEntryOptions, 'log' | 'metrics'>,
  { submission }: Batch,
  circumstances: Circumstances,
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
    ...circumstances,
  });
}
