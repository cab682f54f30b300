/** How a batch that waits, and of which nothing has run, can be served. */
export default interface StartPrediction {
  /** Predicted time until it starts, ms; infinite while nothing of its level or behind it starts. */
  readonly waitMs: number;
  /** Time until it has to start to be answered in its aim, ms; below 0 it is late. */
  readonly slackMs: number;
  /** How long something has been waiting for the same room without a break, ms. */
  readonly shortageMs: number;
  /** Whether others wait for the same room that can still be served in time, here or at other entries. */
  readonly isContended: boolean;
  /** Whether it is in line already; else it has just arrived. */
  readonly isWaiting: boolean;
}
