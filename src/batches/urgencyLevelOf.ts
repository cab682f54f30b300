import type Batch from './Batch';
import FIRST_LATE_LEVEL from './FIRST_LATE_LEVEL';

/**
 * The urgency level of a batch of which nothing has started: its queue's priority; late batches are
 * behind all others, as in `urgencyOf`. `remainingMs` is the duration of its longest task.
 */
export default function urgencyLevelOf(batch: Batch, remainingMs: number, now: number): number {
  const priority = Math.min(batch.submission.queue.priority, FIRST_LATE_LEVEL - 1);
  return batch.timeToTargetMs(now) < remainingMs ? FIRST_LATE_LEVEL + priority : priority;
}
