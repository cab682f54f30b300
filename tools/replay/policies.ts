import type Batch from '../../src/batches/Batch';
import type BatchPolicy from '../../src/batches/BatchPolicy';
import choosePeer from '../../src/batches/choosePeer';
import shouldRefuseEarly from '../../src/batches/shouldRefuseEarly';
import standardPolicy from '../../src/batches/standardPolicy';
import type Urgency from '../../src/batches/Urgency';
import withEarlyRefusal from '../../src/batches/withEarlyRefusal';
import withReserve from '../../src/batches/withReserve';

const nobody: ReadonlySet<never> = new Set();

const refusing = withEarlyRefusal(standardPolicy);

/** Policies by name: the standard one, and others that show what each of its parts is worth. */
const policies: Readonly<Record<string, BatchPolicy>> = {
  standard: standardPolicy,
  /** First come, first served; nothing is refused, shunned or moved. */
  plain: {
    ...standardPolicy,
    urgency: ({ arrivedAt }, now) => ({ rank: 0, slackMs: arrivedAt - now }),
    findOutliers: () => nobody,
    shouldMove: () => false,
  },
  /** The queue's priority, then first come, first served. */
  priority: { ...standardPolicy, urgency: byPriority },
  /** Whoever has to start soonest, whatever its priority. */
  slack: { ...standardPolicy, urgency: (batch, now) => ({ rank: 0, slackMs: batch.slackMs(now) }) },
  /** The queue's priority before everything, what is late only behind its equals. */
  strict: {
    ...standardPolicy,
    urgency: (batch, now) => {
      const slackMs = batch.slackMs(now);
      return { rank: batch.submission.queue.priority * 2 + (slackMs < 0 ? 1 : 0), slackMs };
    },
  },
  /** Slow and failing backend servers get as much as the others. */
  blind: { ...standardPolicy, findOutliers: () => nobody },
  /** All backend servers are taken to work equally fast. */
  even: { ...standardPolicy, speeds: () => new Map() },
  /** Estimates are taken as they come. */
  stated: { ...standardPolicy, predictDuration: (_durations, _queue, estimateMs) => estimateMs },
  /** All that ran at a backend server that crashed is suspected alike, and given up at the second time. */
  alike: {
    ...standardPolicy,
    exceedsCrashLimit: ({ crashes }) => crashes >= 2,
    choose: ({ task, ...choice }) => choosePeer({ ...choice, task: { ...task, suspicion: 0 } }),
  },
  /** A task is given up as soon as it was the likeliest cause of two crashes. */
  hasty: { ...standardPolicy, exceedsCrashLimit: ({ suspicion }) => suspicion >= 2 },
  /** All that ran at backend servers that crashed is suspected, also when many crash together. */
  suspecting: { ...standardPolicy, judgeCrashes: () => ({ excused: [], blamed: [] }) },
  /** A task is started however many backend servers crash under it. */
  trusting: { ...standardPolicy, exceedsCrashLimit: () => false },
  /** Each task of a batch is placed by itself. */
  scattered: { ...standardPolicy, canShareMessage: () => false },
  /** What is predicted to be late is refused early. */
  refusing,
  /** Starts are predicted by the entry's own line only. */
  local: { ...refusing, poolLoads: ([own]) => own!.load },
  /** What is predicted to be late is refused when it arrives, however small the chance to be wrong. */
  prompt: {
    ...refusing,
    shouldRefuse: (prospect) =>
      prospect.isWaiting ? shouldRefuseEarly(prospect) : prospect.waitMs > prospect.slackMs,
  },
  /** Batches are refused when they are late, and none when it arrives. */
  late: {
    ...refusing,
    shouldRefuse: (prospect) => prospect.isWaiting && shouldRefuseEarly(prospect),
  },
  /** Room for a task of 1.5 cores is kept free for the two most urgent priorities. */
  reserve: withReserve(standardPolicy, { cpuMilli: 1_500, urgentBelow: 2 }),
  /** Runs stay where they are, however they crawl. */
  still: { ...standardPolicy, shouldMove: () => false },
};

function byPriority({ submission, arrivedAt }: Batch, now: number): Urgency {
  return { rank: submission.queue.priority, slackMs: arrivedAt - now };
}

export default policies;
