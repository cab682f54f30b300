/**
 * Estimates how much of its time a caller had already spent before its request arrived, from how
 * long the callers of its queue say they will wait. This matters after an outage: callers whose
 * entry was lost retry, most of them too late for any answer to have value, and the capacity that
 * they would use is then missing for first attempts.
 *
 * A caller that says clearly less than most others of its queue is presumed to have spent the
 * difference. That matters only while capacity is short, since otherwise everything starts
 * immediately.
 */
export default class SpentTimeModel {
  private readonly queues = new Map<string, number[]>();

  private constructor() {}

  /** Creates a model without samples. */
  static create(): SpentTimeModel {
    return new SpentTimeModel();
  }

  /**
   * Records how long a caller will wait; returns the time that it has presumably spent before, ms.
   */
  observe(queue: string, waitMs: number): number {
    const waitTimes = this.queues.get(queue) ?? [];
    waitTimes.push(waitMs);
    if (waitTimes.length > MAX_SAMPLES) waitTimes.shift();
    this.queues.set(queue, waitTimes);
    if (waitTimes.length < MIN_SAMPLES) return 0;
    return Math.max(0, firstAttemptWait(waitTimes) * TOLERANCE - waitMs);
  }
}

/** How long a caller waits at its first attempt, robust against many callers that retry. */
function firstAttemptWait(waitTimes: readonly number[]): number {
  const sorted = [...waitTimes].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * FIRST_ATTEMPT_QUANTILE)] ?? 0;
}

/** Samples kept for each queue: a second or two of a busy queue. */
const MAX_SAMPLES = 64;

/** Samples that a queue needs before anything is derived. */
const MIN_SAMPLES = 8;

/** Quantile that represents a first attempt: even with three of four callers retrying it is one. */
const FIRST_ATTEMPT_QUANTILE = 0.75;

/** Callers of a queue differ by a quarter among themselves, since their batches do. */
const TOLERANCE = 0.75;
