/** Sums over the completed tasks of one queue, weighted towards newer ones. */
interface Sums {
  weight: number;
  stated: number;
  ratio: number;
  statedSquared: number;
  statedTimesRatio: number;
}

/**
 * Learns how long a queue's tasks take for a given estimate. It corrects estimates that are far
 * off: taken at face value, a task that is estimated too short is considered late long before it
 * is, and given up, and one that is estimated too long is waited for in vain.
 *
 * The model is a line through the logarithms of estimates and actual durations, fitted by least
 * squares. Where estimates carry no information, it is flat, and every task is expected to take the
 * queue's average time; where they are right up to a constant factor, its slope is one. Without any
 * history, estimates are taken as they are.
 */
export default class DurationModel {
  private readonly queues = new Map<string, Sums>();

  private constructor() {}

  /** Creates a model without history. */
  static create(): DurationModel {
    return new DurationModel();
  }

  /** Expected duration of a task of the queue, in whole ms; 0 if its estimate is 0. */
  predict(queue: string, estimateMs: number): number {
    const sums = this.queues.get(queue);
    if (!sums || estimateMs <= 0) return estimateMs;
    const weight = sums.weight + PRIOR_WEIGHT;
    const stated = sums.stated / Math.max(sums.weight, Number.EPSILON);
    const ratio = sums.ratio / weight;
    const spreadSum = sums.statedSquared - sums.weight * stated ** 2 + PRIOR_WEIGHT * PRIOR_SPREAD;
    const slope = (sums.statedTimesRatio - stated * sums.ratio) / spreadSum;
    const boundedSlope = Math.min(0, Math.max(-1, slope));
    const logRatio = ratio + boundedSlope * (Math.log(estimateMs) - stated);
    const factor = Math.min(MAX_FACTOR, Math.max(1 / MAX_FACTOR, Math.exp(logRatio)));
    return Math.max(1, Math.round(estimateMs * factor));
  }

  /** Learns from a completed task. */
  learn(queue: string, estimateMs: number, tookMs: number): void {
    if (estimateMs <= 0 || tookMs <= 0) return;
    const stated = Math.log(estimateMs);
    const ratio = Math.log(tookMs) - stated;
    const before = this.queues.get(queue) ?? NO_SUMS;
    this.queues.set(queue, {
      weight: before.weight * DECAY + 1,
      stated: before.stated * DECAY + stated,
      ratio: before.ratio * DECAY + ratio,
      statedSquared: before.statedSquared * DECAY + stated * stated,
      statedTimesRatio: before.statedTimesRatio * DECAY + stated * ratio,
    });
  }
}

const NO_SUMS: Sums = { weight: 0, stated: 0, ratio: 0, statedSquared: 0, statedTimesRatio: 0 };

/**
 * Decay of the weight of earlier tasks with each new one: some 200 tasks count, which is seconds of
 * a busy queue.
 */
const DECAY = 0.995;

/** Weight of the prior that estimates are right, in tasks: a queue is known after some tens. */
const PRIOR_WEIGHT = 10;

/** Variance of the logarithms of estimates under that prior: that of estimates wrong by 40%. */
const PRIOR_SPREAD = 0.15;

/** Estimates are corrected by at most this factor. */
const MAX_FACTOR = 8;
