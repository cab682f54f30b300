import type BatchStep from './BatchStep';

/** One task of a batch and its state. */
export default interface BatchTask {
  readonly step: BatchStep;
  readonly stepNumber: number;
  readonly index: number;
  /** The lowest number that its next attempt may have. */
  attempt: number;
  /** How often it was stopped in order to be restarted elsewhere. */
  moves: number;
  /** Number of failed runs. */
  failures: number;
  /** Number of backend servers that crashed while it ran there. */
  crashes: number;
  /** In how many of these crashes it was the likeliest cause. */
  suspicion: number;
  /** Suspicion that was withdrawn, since other backend servers crashed at the same time. */
  excused: number;
  /** Sidecar instances where it failed; they are avoided as long as there are others. */
  readonly failedAt: Set<string>;
  /**
   * When it became ready to run, by the timer service; undefined until the steps before it are
   * done.
   */
  readyAt: number | undefined;
}
