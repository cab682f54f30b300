import type BatchSubmission from './BatchSubmission';

/**
 * By when a batch should be answered, from what its queue promises: a number of times its longest
 * chain of work, and some time more. Later than three times that nobody needs the answer.
 */
export default class Objective {
  private constructor(
    /** The longest chain of estimated work, ms. */
    readonly criticalPathMs: number,
    /** Time from the caller's first try to the answer, ms. */
    readonly targetMs: number,
    /** Time from the caller's first try after which the answer is of no use, ms. */
    readonly expiryMs: number,
  ) {}

  /** The objective of a batch as submitted. */
  static of({ steps, queue, waitMs, ageMs = 0, spentMs = 0 }: BatchSubmission): Objective {
    const chains: number[] = [];
    steps.forEach(({ after, estimateMs }) => {
      const before = Math.max(0, ...after.map((number) => chains[number] ?? 0));
      chains.push(before + estimateMs);
    });
    const chainMs = Math.max(0, ...chains);
    const aimMs = queue.stretch * chainMs + queue.targetLatencyMs;
    return new Objective(chainMs, aimMs, Math.min(aimMs * USELESS, spentMs + ageMs + waitMs));
  }
}

/** Times the objective up to which a late answer is of some use, as the users' pages have it. */
const USELESS = 3;
