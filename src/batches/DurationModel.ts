/** Sums over the tasks of one queue that were done, newer ones weighing more. */
interface Seen {
  weight: number;
  stated: number;
  ratio: number;
  statedSquared: number;
  statedTimesRatio: number;
}

/**
 * Learns how long a queue's tasks take when their estimates say so much. It answers estimates that are
 * far off: taken as they come, a task that is said to be short is believed to be late long before it is,
 * and given up, and one that is said to be long is waited for in vain.
 *
 * It is a line through the logarithms of the estimates and of the times taken, fitted by least squares.
 * Where estimates say nothing, it is flat and every task is expected to take the queue's middle time;
 * where they are right but for a factor, it has the slope one. Before anything is known, estimates
 * are taken as they come.
 */
export default class DurationModel {
  private readonly queues = new Map<string, Seen>();

  private constructor() {}

  /** Creates one that has seen nothing. */
  static create(): DurationModel {
    return new DurationModel();
  }

  /** How long a task of the queue is expected to take, whole ms; 0 when its estimate is. */
  predict(queue: string, estimateMs: number): number {
    const seen = this.queues.get(queue);
    if (!seen || estimateMs <= 0) return estimateMs;
    const weight = seen.weight + PRIOR_WEIGHT;
    const stated = seen.stated / Math.max(seen.weight, Number.EPSILON);
    const ratio = seen.ratio / weight;
    const spread = seen.statedSquared - seen.weight * stated ** 2 + PRIOR_WEIGHT * PRIOR_SPREAD;
    const slope = (seen.statedTimesRatio - stated * seen.ratio) / spread;
    const bounded = Math.min(0, Math.max(-1, slope));
    const logRatio = ratio + bounded * (Math.log(estimateMs) - stated);
    const factor = Math.min(MOST_FACTOR, Math.max(1 / MOST_FACTOR, Math.exp(logRatio)));
    return Math.max(1, Math.round(estimateMs * factor));
  }

  /** Takes note of a task that was done. */
  learn(queue: string, estimateMs: number, tookMs: number): void {
    if (estimateMs <= 0 || tookMs <= 0) return;
    const stated = Math.log(estimateMs);
    const ratio = Math.log(tookMs) - stated;
    const before = this.queues.get(queue) ?? NOTHING;
    this.queues.set(queue, {
      weight: before.weight * FADE + 1,
      stated: before.stated * FADE + stated,
      ratio: before.ratio * FADE + ratio,
      statedSquared: before.statedSquared * FADE + stated * stated,
      statedTimesRatio: before.statedTimesRatio * FADE + stated * ratio,
    });
  }
}

const NOTHING: Seen = { weight: 0, stated: 0, ratio: 0, statedSquared: 0, statedTimesRatio: 0 };

/** What each task leaves of the weight of those before it: some 200 tasks count, seconds of a busy queue. */
const FADE = 0.995;

/** The trust in estimates as they come, in tasks: a queue is known after some tens. */
const PRIOR_WEIGHT = 10;

/** Variance of the logarithms of estimates that the trust stands for: that of estimates wrong by 40%. */
const PRIOR_SPREAD = 0.15;

/** No estimate is corrected by more than this factor. */
const MOST_FACTOR = 8;
