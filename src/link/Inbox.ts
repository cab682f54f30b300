import Wakeup from '../core/Wakeup';
import type PeerMessage from './PeerMessage';

const READ_AHEAD_MESSAGES = 4096;

/**
 * What arrived on a link and is not yet handled. When the peer ends the link,
 * the messages that arrived before are still handed out; only then has the
 * link ended for its reader.
 */
export default class Inbox {
  private arrived: PeerMessage[] = [];

  /** Messages that arrived and are not yet handled; the one being handled is one of them. */
  private unread = 0;

  private finished = false;

  private dropped = false;

  private readonly changed = Wakeup.create();

  private readonly drained = Wakeup.create();

  private constructor(private readonly ended: () => void) {}

  /** Creates an empty inbox that calls `ended` once, when nothing more will be handed out. */
  static create(ended: () => void): Inbox {
    return new Inbox(ended);
  }

  /** Adds messages in their order. Ignored after the end. */
  push(messages: readonly PeerMessage[]): void {
    if (this.finished) return;
    messages.forEach((message) => this.arrived.push(message));
    this.unread += messages.length;
    this.changed.wake();
  }

  /** Resolves when the reader has caught up far enough to take more. */
  async waitForSpace(): Promise<void> {
    while (this.unread > READ_AHEAD_MESSAGES && !this.dropped) await this.drained.wait();
  }

  /** Nothing more will arrive; what is there is still handed out. */
  finish(): void {
    if (this.finished) return;
    this.finished = true;
    this.changed.wake();
    if (this.unread === 0) this.ended();
  }

  /** Ends at once and discards what was not handed out. */
  abort(): void {
    if (this.dropped) return;
    const wasEnded = this.finished && this.unread === 0;
    this.dropped = true;
    this.finished = true;
    this.arrived = [];
    this.unread = 0;
    this.changed.wake();
    this.drained.wake();
    if (!wasEnded) this.ended();
  }

  /** Hands out the messages in order until the end. For one reader. */
  async *read(): AsyncGenerator<PeerMessage, void, void> {
    for (;;) {
      const batch = this.arrived;
      this.arrived = [];
      for (const message of batch) {
        if (this.dropped) return;
        yield message;
        this.handled();
      }
      if (this.arrived.length > 0) continue;
      if (this.finished) return;
      await this.changed.wait();
    }
  }

  private handled(): void {
    if (this.dropped) return;
    this.unread -= 1;
    this.drained.wake();
    if (this.finished && this.unread === 0) this.ended();
  }
}
