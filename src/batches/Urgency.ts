/** How urgently a batch waits for room, comparable between entries. */
export default interface Urgency {
  /** 0 goes before 1, whatever the time left. */
  readonly rank: number;
  /** Time until it has to start to be answered in its aim, ms. Among equal ranks the least goes first. */
  readonly slackMs: number;
}
