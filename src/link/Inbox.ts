import Wakeup from '../core/Wakeup';
import type PeerMessage from './PeerMessage';

const READ_AHEAD_MESSAGES = 4096;

/**
 * The receive queue of a link: messages that have arrived and are not yet handled.
 * When the peer ends the link, messages that arrived before are still delivered;
 * only then does the link end for its reader.
 */
export default class Inbox {
  private queued: PeerMessage[] = [];

  /** Number of messages not yet handled, including the one being handled. */
  private unhandledCount = 0;

  private isFinished = false;

  private isAborted = false;

  private readonly arrival = Wakeup.create();

  private readonly spaceFreed = Wakeup.create();

  private constructor(private readonly onEnd: () => void) {}

  /** Creates an empty inbox that calls `onEnd` once, when no more messages will be delivered. */
  static create(onEnd: () => void): Inbox {
    return new Inbox(onEnd);
  }

  /** Appends messages. Ignored after the end. */
  push(messages: readonly PeerMessage[]): void {
    if (this.isFinished) return;
    messages.forEach((message) => this.queued.push(message));
    this.unhandledCount += messages.length;
    this.arrival.wake();
  }

  /** Resolves when at most `READ_AHEAD_MESSAGES` are unhandled (back-pressure for the stream), or after `abort`. */
  async waitForSpace(): Promise<void> {
    while (this.unhandledCount > READ_AHEAD_MESSAGES && !this.isAborted)
      await this.spaceFreed.wait();
  }

  /** Accepts no more messages; those queued are still delivered. */
  finish(): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.arrival.wake();
    if (this.unhandledCount === 0) this.onEnd();
  }

  /** Ends at once and discards undelivered messages. */
  abort(): void {
    if (this.isAborted) return;
    const wasEnded = this.isFinished && this.unhandledCount === 0;
    this.isAborted = true;
    this.isFinished = true;
    this.queued = [];
    this.unhandledCount = 0;
    this.arrival.wake();
    this.spaceFreed.wake();
    if (!wasEnded) this.onEnd();
  }

  /** Delivers the messages in order until the end. For a single reader. */
  async *read(): AsyncGenerator<PeerMessage, void, void> {
    for (;;) {
      const batch = this.queued;
      this.queued = [];
      for (const message of batch) {
        if (this.isAborted) return;
        yield message;
        this.markHandled();
      }
      if (this.queued.length > 0) continue;
      if (this.isFinished) return;
      await this.arrival.wait();
    }
  }

  private markHandled(): void {
    if (this.isAborted) return;
    this.unhandledCount -= 1;
    this.spaceFreed.wake();
    if (this.isFinished && this.unhandledCount === 0) this.onEnd();
  }
}
