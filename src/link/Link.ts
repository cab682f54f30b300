import type { Hello } from '../gen/magnoliakeel/v1/peer_pb';
import type PeerMessage from './PeerMessage';

/**
 * One open link to a peer process. A link keeps the order of messages and
 * never comes back: after a break the dialling side opens a new one with the
 * next session number.
 */
export default interface Link {
  /** What the peer said of itself when the link opened. */
  readonly peer: Hello;

  /**
   * Aborts when the link has ended, whichever side or fault ended it. When the peer ended it, the
   * messages that had arrived by then are handed out first.
   */
  readonly closed: AbortSignal;

  /** Monotonic time in milliseconds at which this side last sent a message, or of the opening. */
  readonly lastSentAt: number;

  /** Monotonic time in milliseconds at which something last arrived, or of the opening. */
  readonly lastReceivedAt: number;

  /** Why the link broke off; undefined while it is open and when it has ended in good order. */
  readonly failure?: string | undefined;

  /** Queues a message; all messages of one event-loop turn leave in one frame. Does nothing once closed. */
  send(message: PeerMessage): void;

  /** The peer's messages in order, until the link ends. Meant for the one task that serves this link. */
  messages(): AsyncIterable<PeerMessage>;

  /**
   * Ends the link at once: nothing more is received. What was sent before still goes out when the
   * peer reads, but may or may not arrive. With `isSilent`, for a peer that does not answer, nothing
   * more is written and the connection itself is given up, so that the next link gets a new one.
   */
  close(isSilent?: boolean): void;
}
