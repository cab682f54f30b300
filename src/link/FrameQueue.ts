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
 * The send queue of a link. Messages sent within one callback of the event loop are
 * written in one frame. If the peer reads slowly, frames get larger instead of more
 * numerous. If it does not read at all, the queue overflows.
 */
export default class FrameQueue {
  private queued: Message[] = [];

  private queuedBytes = 0;

  /** Whether queued messages have to wait for the next flush. */
  private isFlushPending = false;

  /** Whether a flush was already scheduled in this turn of the event loop. */
  private hasFlushedThisTurn = false;

  private isEnded = false;

  private readonly wakeup = Wakeup.create();

  private constructor(
    private readonly onOverflow: () => void,
    private readonly maxBytes: number,
  ) {}

  /** Creates an empty queue that calls `onOverflow` when more than `maxBytes` are queued. */
  static create(onOverflow: () => void, maxBytes: number = MAX_QUEUE_BYTES): FrameQueue {
    return new FrameQueue(onOverflow, maxBytes);
  }

  /** Queues a message for the next frame. Does nothing after the end. */
  send(message: PeerMessage): void {
    if (this.isEnded) return;
    MessageCounts.global.add(message);
    this.queued.push(create(MessageSchema, { kind: message }));
    this.queuedBytes += estimateSize(message.value);
    if (this.queuedBytes > this.maxBytes) {
      this.abort();
      this.onOverflow();
      return;
    }
    this.scheduleFlush();
  }

  /** Accepts no more messages; the frames end after those queued. */
  end(): void {
    this.isEnded = true;
    this.wakeup.wake();
  }

  /** Discards queued messages and ends the frames. */
  abort(): void {
    this.queued = [];
    this.queuedBytes = 0;
    this.end();
  }

  /** The frames to write, until the end. For a single writer that takes the next frame when the last one is written. */
  async *frames(): AsyncGenerator<Frame, void, void> {
    for (;;) {
      while (this.isFlushPending || (this.queued.length === 0 && !this.isEnded))
        await this.wakeup.wait();
      if (this.queued.length === 0) return;
      yield create(FrameSchema, { messages: this.takeMessages() });
    }
  }

  /**
   * Messages sent by one callback are written when it ends: waiting for the end of the turn would cost another poll
   * of the event loop. Messages sent later by other callbacks of the same turn are written together when the turn ends.
   */
  private scheduleFlush(): void {
    if (this.isFlushPending) return;
    this.isFlushPending = true;
    if (this.hasFlushedThisTurn) return;
    this.hasFlushedThisTurn = true;
    setImmediate(() => {
      this.hasFlushedThisTurn = false;
      this.flush();
    });
    // Runs after the pending microtasks, which may send as well.
    queueMicrotask(() => process.nextTick(() => this.flush()));
  }

  private flush(): void {
    this.isFlushPending = false;
    this.wakeup.wake();
  }

  private takeMessages(): Message[] {
    if (this.queuedBytes <= MAX_FRAME_BYTES) {
      const all = this.queued;
      this.queued = [];
      this.queuedBytes = 0;
      return all;
    }
    return this.takeUpToFrameLimit();
  }

  private takeUpToFrameLimit(): Message[] {
    let count = 0;
    let bytes = 0;
    while (count < this.queued.length && bytes < MAX_FRAME_BYTES) {
      bytes += estimateSize(this.queued[count]?.kind.value);
      count += 1;
    }
    this.queuedBytes -= bytes;
    return this.queued.splice(0, count);
  }
}
