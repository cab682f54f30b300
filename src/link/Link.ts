import type { Hello } from '../gen/magnoliakeel/v1/peer_pb';
import type PeerMessage from './PeerMessage';

/**
 * An open link to a peer process: an ordered, bidirectional stream of messages.
 * A link is never reopened: after a break the dialling side opens a new one with
 * the next session number.
 */
export default interface Link {
  /** The hello that the peer sent when the link opened. */
  readonly peer: Hello;

  /**
   * Aborts when the link has ended, whichever side or fault ended it. If the peer ended it, messages
   * that had arrived by then are delivered first.
   */
  readonly closed: AbortSignal;

  /** Monotonic time in milliseconds at which this side last sent a message; before the first, when the link opened. */
  readonly lastSentAt: number;

  /** Monotonic time in milliseconds at which a frame last arrived; before the first, when the link opened. */
  readonly lastReceivedAt: number;

  /** Why the link broke; undefined while it is open and if it was closed cleanly. */
  readonly failure?: string | undefined;

  /** Queues a message; all messages of one event-loop turn are sent in one frame. Does nothing once closed. */
  send(message: PeerMessage): void;

  /** The peer's messages in order, until the link ends. For a single reader: the task that serves this link. */
  messages(): AsyncIterable<PeerMessage>;

  /**
   * Ends the link at once: nothing more is received. Messages sent before are still written while the
   * peer reads, but may not arrive. With `isUnresponsive`, nothing more is written
   * and the connection itself is closed, so that the next link gets a new one.
   */
  close(isUnresponsive?: boolean): void;
}
