import type BatchStep from './BatchStep';
import type Queue from './Queue';

/** A batch as a caller submits it. */
export default interface BatchSubmission {
  /** The caller's id; the same id is the same batch. */
  readonly id: string;
  readonly queue: Queue;
  /** What each backend server gets with a task. */
  readonly spec: string;
  readonly steps: readonly BatchStep[];
  /** Time since its request arrived, ms; it counts towards its objective. */
  readonly ageMs?: number;
  /** Time that its caller seems to have spent before that, ms; it counts towards its objective as well. */
  readonly spentMs?: number;
  /** How long the caller still waits for the answer, ms. */
  readonly waitMs: number;
}
