import type Batch from './Batch';
import FIRST_LATE_LEVEL from './FIRST_LATE_LEVEL';

/**
 * The level of urgency of a batch of which nothing has started: its queue's priority, and behind all of these what
 * is late, as `urgencyOf` has it. `restMs` is the time that its longest task takes.
 */
export default function urgencyLevelOf(batch: Batch, restMs: number, now: number): number {
  const priority = Math.min(batch.submission.queue.priority, FIRST_LATE_LEVEL - 1);
  return batch.timeToTargetMs(now) < restMs ? FIRST_LATE_LEVEL + priority : priority;
}
