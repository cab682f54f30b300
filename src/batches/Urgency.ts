/** Urgency of a waiting batch, comparable between entries. */
export default interface Urgency {
  /** Rank 0 goes before 1, regardless of slack. */
  readonly rank: number;
  /**
   * Time until it has to start to meet its latency target, ms. Within a rank, the least slack goes
   * first.
   */
  readonly slackMs: number;
}
