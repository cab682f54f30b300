import type BatchSubmission from './BatchSubmission';

/**
 * The latency target and expiry of a batch. The target is a multiple of its critical path plus a
 * constant, both set by its queue. After three times the target nobody needs the answer.
 */
export default class Objective {
  private constructor(
    /** The longest chain of estimated work through the steps, ms. */
    readonly criticalPathMs: number,
    /** Latency target: time from the caller's first attempt to the answer, ms. */
    readonly targetMs: number,
    /** Expiry: time from the caller's first attempt after which the answer has no value, ms. */
    readonly expiryMs: number,
  ) {}

  /** The objective of a submitted batch. */
  static of({ steps, queue, waitMs, ageMs = 0, spentMs = 0 }: BatchSubmission): Objective {
    const pathsMs: number[] = [];
    steps.forEach(({ after, estimateMs }) => {
      const predecessorsMs = Math.max(0, ...after.map((number) => pathsMs[number] ?? 0));
      pathsMs.push(predecessorsMs + estimateMs);
    });
    const criticalPathMs = Math.max(0, ...pathsMs);
    const targetMs = queue.stretch * criticalPathMs + queue.targetLatencyMs;
    return new Objective(
      criticalPathMs,
      targetMs,
      Math.min(targetMs * EXPIRY_FACTOR, spentMs + ageMs + waitMs),
    );
  }
}

/**
 * Multiple of the latency target up to which a late answer has some value, as documented for users.
 */
const EXPIRY_FACTOR = 3;
