import type Batch from './Batch';

/**
 * The order in which waiting batches get room, for the load in which more is asked than there is
 * room for. The queue's priority comes first, since operators set it. Among equals, batches that can
 * still be answered in their aim go before those that are late already, which are worth a fraction:
 * after an outage the line would otherwise stay late for long after the backlog is gone. Among those
 * in time, whoever has to start soonest goes first.
 */
export default function compareBatches(a: Batch, b: Batch, now: number): number {
  const byPriority = a.submission.queue.priority - b.submission.queue.priority;
  if (byPriority !== 0) return byPriority;
  const slackOfA = a.slackMs(now);
  const slackOfB = b.slackMs(now);
  const isLateA = slackOfA < 0;
  const isLateB = slackOfB < 0;
  if (isLateA !== isLateB) return isLateA ? 1 : -1;
  return slackOfA - slackOfB;
}
