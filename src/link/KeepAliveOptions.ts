/** How long a link may be silent, in milliseconds. */
export default interface KeepAliveOptions {
  /** After this long without a message of its own, a process sends a heartbeat. */
  readonly intervalMs: number;
  /** After this long without a message from the peer, the peer is suspected. */
  readonly suspectMs: number;
  /** After this long without a message from the peer, the link is closed. */
  readonly closeMs: number;
}
