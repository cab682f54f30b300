import type Batch from './Batch';
import type Urgency from './Urgency';

/**
 * The order in which waiting batches get room, for the load in which more is asked than there is
 * room for. What can no longer be answered in its aim goes last, whatever its queue, since its answer
 * is worth a fraction: after an outage the line would otherwise stay late for long after the backlog
 * is gone. Of the others, one of which only a few tasks are left is finished before another is begun,
 * since a batch is worth nothing until its last task is done. Then the queue's priority decides, which
 * operators set, and then whoever has to start soonest.
 *
 * Replayed loads chose this among twelve orders; `npm run replay` shows others beside it.
 */
export default function urgencyOf(batch: Batch, now: number): Urgency {
  const slackMs = batch.slackMs(now);
  return { rank: stageOf(batch, slackMs) * PRIORITIES + batch.submission.queue.priority, slackMs };
}

/** Nearly done and in time, in time, or late. */
function stageOf({ ready, startsSent }: Batch, slackMs: number): number {
  if (slackMs < 0) return LATE;
  return startsSent > 0 && ready.length <= FEW ? NEARLY_DONE : IN_TIME;
}

const NEARLY_DONE = 0;
const IN_TIME = 1;
const LATE = 2;

/** More than there are priorities of queues. */
const PRIORITIES = 1_000;

/** Tasks left by which a begun batch is finished first: so many that no urgent batch waits long for them. */
const FEW = 8;
