/** Time limits for silence on a link, in milliseconds. */
export default interface KeepAliveOptions {
  /** A process that has sent nothing for this long sends a heartbeat. */
  readonly intervalMs: number;
  /** A peer from which nothing has arrived for this long is suspected. */
  readonly suspectMs: number;
  /** A link on which nothing has arrived for this long is closed. */
  readonly closeMs: number;
}
