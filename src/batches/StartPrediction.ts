/** The prospects of a batch of which nothing has run. */
export default interface StartPrediction {
  /**
   * Predicted time until it starts, ms; infinite while nothing at its level or a less urgent one
   * starts.
   */
  readonly waitMs: number;
  /** Time until it has to start to meet its latency target, ms; below 0 it is late. */
  readonly slackMs: number;
  /** How long tasks have been waiting for the same capacity without a break, ms. */
  readonly shortageMs: number;
  /**
   * Whether other batches that can still meet their target wait for the same capacity, here or at
   * other entries.
   */
  readonly isContended: boolean;
  /** Whether it is already in the backlog; otherwise it has just arrived. */
  readonly isWaiting: boolean;
}
