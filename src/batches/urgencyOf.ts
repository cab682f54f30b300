import type Batch from './Batch';
import type Urgency from './Urgency';

/**
 * The order in which waiting batches get capacity when load exceeds it.
 *
 * A started batch with only a few tasks left is finished before another one is started, even if it
 * is late: it has no value until its last task is done, and the work done so far would be lost.
 * Next come batches that can still meet their latency target, by the queue's priority, which
 * operators set, and then by who has to start soonest. Late batches are behind these, whatever
 * their queue, since their answer is worth only a fraction: otherwise everything would stay late
 * for long after the backlog of an outage is gone. Among late batches small ones go first, so that
 * most callers are served, and a batch that has waited longer catches up. Batches that will expire
 * go last.
 *
 * `npm run replay` compares other orders with this one.
 */
export default function urgencyOf(batch: Batch, now: number): Urgency {
  const slackMs = batch.slackMs(now);
  const stage = stageOf(batch, slackMs, now);
  const priority = Math.min(batch.submission.queue.priority, PRIORITY_COUNT - 1);
  const rank = stage * PRIORITY_COUNT + priority;
  return { rank, slackMs: stage === LATE ? lateSlackMs(batch, now) : slackMs };
}

/** The stage of a batch: nearly done, in time, late, or expiring. */
function stageOf(batch: Batch, slackMs: number, now: number): number {
  const { ready, startsSent } = batch;
  if (batch.willExpire(now)) return EXPIRING;
  if (startsSent > 0 && ready.length <= FEW_TASKS) return NEARLY_DONE;
  return slackMs < 0 ? LATE : IN_TIME;
}

/**
 * The slack of a late batch: the work of its ready tasks, as time on one core, less the time since
 * its arrival, ms.
 */
function lateSlackMs({ readyWork, arrivedAt }: Batch, now: number): number {
  return readyWork / CORE_MILLI - (now - arrivedAt);
}

const NEARLY_DONE = 0;
const IN_TIME = 1;
const LATE = 2;
const EXPIRING = 3;

const CORE_MILLI = 1_000;

/**
 * Number of distinct priorities; higher numbers count as the last one, so that no message has to
 * carry a greater number.
 */
const PRIORITY_COUNT = 1_000;

/**
 * A started batch with at most this many ready tasks is finished first: few enough that no urgent
 * batch waits long for them.
 */
const FEW_TASKS = 8;
