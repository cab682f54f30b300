import type Batch from './Batch';
import type Urgency from './Urgency';

/**
 * The order in which waiting batches get room, for the load in which more is asked than there is
 * room for.
 *
 * A begun batch of which only a few tasks are left is finished before another is begun, also when it
 * is late: it is worth nothing until its last task is done, and what was done of it would be lost. Then
 * comes what can still be answered in its aim, by the queue's priority, which operators set, and then
 * by who has to start soonest. What is late goes behind that, whatever its queue, since its answer is
 * worth a fraction: after an outage the line would otherwise stay late for long after the backlog is
 * gone. Among the late the small go first, so that most callers are served, and who has waited longer
 * catches up. What is hopeless goes last.
 *
 * `npm run replay` shows other orders beside this one.
 */
export default function urgencyOf(batch: Batch, now: number): Urgency {
  const slackMs = batch.slackMs(now);
  const stage = stageOf(batch, slackMs, now);
  const priority = Math.min(batch.submission.queue.priority, PRIORITIES - 1);
  const rank = stage * PRIORITIES + priority;
  return { rank, slackMs: stage === LATE ? lateSlackMs(batch, now) : slackMs };
}

/** Nearly done, in time, late, or hopeless. */
function stageOf(batch: Batch, slackMs: number, now: number): number {
  const { ready, startsSent } = batch;
  if (batch.willExpire(now)) return HOPELESS;
  if (startsSent > 0 && ready.length <= FEW) return NEARLY_DONE;
  return slackMs < 0 ? LATE : IN_TIME;
}

/** The work of the tasks that wait, as time on one core, less the time since the arrival, ms. */
function lateSlackMs({ readyWork: waitingWork, arrivedAt }: Batch, now: number): number {
  return waitingWork / CORE_MILLI - (now - arrivedAt);
}

const NEARLY_DONE = 0;
const IN_TIME = 1;
const LATE = 2;
const HOPELESS = 3;

const CORE_MILLI = 1_000;

/** Priorities told apart; all beyond count as the last, so that no message has to carry a greater number. */
const PRIORITIES = 1_000;

/** Tasks left by which a begun batch is finished first: so many that no urgent batch waits long for them. */
const FEW = 8;
