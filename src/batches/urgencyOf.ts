import type Batch from './Batch';
import type Urgency from './Urgency';

/**
 * The order in which waiting batches get room, for the load in which more is asked than there is
 * room for. The queue's priority comes first, since operators set it. Among equals, batches that can
 * still be answered in their aim go before those that are late or nearly so, which are worth a
 * fraction: after an outage the line would otherwise stay late for long after the backlog is gone.
 * "Nearly" is kept wide, because estimates are wrong by 40% and a batch started at the last moment
 * ends late as often as not. Among those in time, one that has begun is finished before another is
 * begun, and then whoever has to start soonest goes first.
 */
export default function urgencyOf(batch: Batch, now: number): Urgency {
  const slackMs = batch.slackMs(now);
  return { rank: batch.submission.queue.priority * STAGES + stageOf(batch, slackMs), slackMs };
}

/** Begun and in time, waiting and in time, or late. */
function stageOf(batch: Batch, slackMs: number): number {
  const { aimMs, chainMs } = batch.objective;
  if (slackMs < (aimMs - chainMs) * NEARLY_LATE) return LATE;
  return batch.startsSent > 0 ? BEGUN : WAITING;
}

const BEGUN = 0;
const WAITING = 1;
const LATE = 2;
const STAGES = 3;

/** Share of a batch's first slack below which it counts as late. */
const NEARLY_LATE = 0.25;
