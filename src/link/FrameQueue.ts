import { create } from '@bufbuild/protobuf';
import Wakeup from '../core/Wakeup';
import {
  type Frame,
  FrameSchema,
  type Message,
  MessageSchema,
} from '../gen/magnoliakeel/v1/peer_pb';
import MessageCounts from './MessageCounts';
import type PeerMessage from './PeerMessage';
import estimateSize from './estimateSize';

const MAX_QUEUE_BYTES = 64 * 1024 * 1024;
const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/**
 * The messages of a link that wait to be written. What one callback of the event
 * loop sends leaves in one frame; while the peer reads slowly, frames grow instead
 * of becoming many. A peer that does not read at all fills the queue.
 */
export default class FrameQueue {
  private waiting: Message[] = [];

  private waitingBytes = 0;

  /** Whether what waits is not to be written before it is flushed. */
  private flushDue = false;

  /** Whether something has left in this turn of the loop. */
  private hasFlushed = false;

  private ended = false;

  private readonly changed = Wakeup.create();

  private constructor(
    private readonly overflow: () => void,
    private readonly maxBytes: number,
  ) {}

  /** Creates an empty queue that calls `overflow` when more than the limit waits. */
  static create(overflow: () => void, maxBytes: number = MAX_QUEUE_BYTES): FrameQueue {
    return new FrameQueue(overflow, maxBytes);
  }

  /** Queues a message for this turn's frame. */
  send(message: PeerMessage): void {
    if (this.ended) return;
    MessageCounts.global.add(message);
    this.waiting.push(create(MessageSchema, { kind: message }));
    this.waitingBytes += estimateSize(message.value);
    if (this.waitingBytes > this.maxBytes) {
      this.abort();
      this.overflow();
      return;
    }
    this.flushSoon();
  }

  /** Takes no more messages; the frames end after what is queued. */
  end(): void {
    this.ended = true;
    this.changed.wake();
  }

  /** Discards what is queued and ends the frames. */
  abort(): void {
    this.waiting = [];
    this.waitingBytes = 0;
    this.end();
  }

  /** The frames to write, until the end. For one writer, which takes the next when the last is written. */
  async *frames(): AsyncGenerator<Frame, void, void> {
    for (;;) {
      while (this.flushDue || (this.waiting.length === 0 && !this.ended)) await this.changed.wait();
      if (this.waiting.length === 0) return;
      yield create(FrameSchema, { messages: this.take() });
    }
  }

  /**
   * What one callback sends is written at its end: waiting for the end of the turn would cost the loop another poll.
   * What other callbacks of the same turn send after that leaves together, when the turn is over.
   */
  private flushSoon(): void {
    if (this.flushDue) return;
    this.flushDue = true;
    if (this.hasFlushed) return;
    this.hasFlushed = true;
    setImmediate(() => {
      this.hasFlushed = false;
      this.flush();
    });
    // After the microtasks, which send as well.
    queueMicrotask(() => process.nextTick(() => this.flush()));
  }

  private flush(): void {
    this.flushDue = false;
    this.changed.wake();
  }

  private take(): Message[] {
    if (this.waitingBytes <= MAX_FRAME_BYTES) {
      const all = this.waiting;
      this.waiting = [];
      this.waitingBytes = 0;
      return all;
    }
    return this.takePart();
  }

  private takePart(): Message[] {
    let count = 0;
    let bytes = 0;
    while (count < this.waiting.length && bytes < MAX_FRAME_BYTES) {
      bytes += estimateSize(this.waiting[count]?.kind.value);
      count += 1;
    }
    this.waitingBytes -= bytes;
    return this.waiting.splice(0, count);
  }
}
