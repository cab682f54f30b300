import type Batch from '../../src/batches/Batch';
import type BatchPolicy from '../../src/batches/BatchPolicy';
import choosePeer from '../../src/batches/choosePeer';
import shouldRefuseEarly from '../../src/batches/shouldRefuseEarly';
import standardPolicy from '../../src/batches/standardPolicy';
import type Urgency from '../../src/batches/Urgency';
import withEarlyRefusal from '../../src/batches/withEarlyRefusal';
import withReserve from '../../src/batches/withReserve';

const noOutliers: ReadonlySet<never> = new Set();

const refusing = withEarlyRefusal(standardPolicy);

/** Policies by name: the standard one, and variants that show what each of its parts contributes. */
const policies: Readonly<Record<string, BatchPolicy>> = {
  standard: standardPolicy,
  /** First come, first served; nothing is refused, no backend server is ejected and no run is moved. */
  plain: {
    ...standardPolicy,
    urgency: ({ arrivedAt }, now) => ({ rank: 0, slackMs: arrivedAt - now }),
    findOutliers: () => noOutliers,
    shouldMove: () => false,
  },
  /** The queue's priority, then first come, first served. */
  priority: { ...standardPolicy, urgency: byPriority },
  /** Least slack first, whatever the priority. */
  slack: { ...standardPolicy, urgency: (batch, now) => ({ rank: 0, slackMs: batch.slackMs(now) }) },
  /** The queue's priority first; batches that are late come last within their priority. */
  strict: {
    ...standardPolicy,
    urgency: (batch, now) => {
      const slackMs = batch.slackMs(now);
      return { rank: batch.submission.queue.priority * 2 + (slackMs < 0 ? 1 : 0), slackMs };
    },
  },
  /** Slow and failing backend servers get as much work as the others. */
  blind: { ...standardPolicy, findOutliers: () => noOutliers },
  /** All backend servers are presumed to be equally fast. */
  even: { ...standardPolicy, machineRatios: () => new Map() },
  /** Callers' estimates are used as stated. */
  stated: { ...standardPolicy, predictDuration: (_durations, _queue, estimateMs) => estimateMs },
  /** All tasks at a crashed backend server are suspected equally, and given up at their second crash. */
  alike: {
    ...standardPolicy,
    exceedsCrashLimit: ({ crashes }) => crashes >= 2,
    choose: ({ task, ...choice }) => choosePeer({ ...choice, task: { ...task, suspicion: 0 } }),
  },
  /** A task is given up as soon as it was the likeliest cause of two crashes. */
  hasty: { ...standardPolicy, exceedsCrashLimit: ({ suspicion }) => suspicion >= 2 },
  /** All tasks at crashed backend servers are suspected, even when many crash together. */
  suspecting: { ...standardPolicy, attributeCrashes: () => ({ excused: [], blamed: [] }) },
  /** A task is started again however many backend servers crash while they run it. */
  trusting: { ...standardPolicy, exceedsCrashLimit: () => false },
  /** Each task of a batch is placed separately. */
  scattered: { ...standardPolicy, canShareMessage: () => false },
  /** Batches that are predicted to be late are refused early. */
  refusing,
  /** Starts are predicted from the entry's own backlog only. */
  local: { ...refusing, poolLoads: ([own]) => own!.load },
  /** Batches that are predicted to be late are refused on arrival, however small the margin. */
  prompt: {
    ...refusing,
    shouldRefuse: (prediction) =>
      prediction.isWaiting ? shouldRefuseEarly(prediction) : prediction.waitMs > prediction.slackMs,
  },
  /** Only waiting batches are refused, none on arrival. */
  late: {
    ...refusing,
    shouldRefuse: (prediction) => prediction.isWaiting && shouldRefuseEarly(prediction),
  },
  /** Capacity for a task of 1.5 cores is reserved for the two most urgent priorities. */
  reserve: withReserve(standardPolicy, { cpuMilli: 1_500, urgentBelow: 2 }),
  /** Runs are never moved, however slow they are. */
  still: { ...standardPolicy, shouldMove: () => false },
};

function byPriority({ submission, arrivedAt }: Batch, now: number): Urgency {
  return { rank: submission.queue.priority, slackMs: arrivedAt - now };
}

export default policies;
