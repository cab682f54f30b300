import type BatchStep from './BatchStep';
import type Queue from './Queue';

/** A batch as a caller submits it. */
export default interface BatchSubmission {
  /** The caller's id. Two submissions with the same id are the same batch. */
  readonly id: string;
  readonly queue: Queue;
  /** Input that is passed to the backend server with each task. */
  readonly spec: string;
  readonly steps: readonly BatchStep[];
  /** Time since its request arrived, ms; counts towards its latency target. */
  readonly ageMs?: number;
  /**
   * Estimated time that its caller spent on earlier attempts, ms; also counts towards its latency
   * target.
   */
  readonly spentMs?: number;
  /** How long the caller will still wait for the answer, ms. */
  readonly waitMs: number;
}
