import { ConnectError } from '@connectrpc/connect';
import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import type { Frame, Hello } from '../gen/magnoliakeel/v1/peer_pb';
import type FrameQueue from './FrameQueue';
import Inbox from './Inbox';
import type Link from './Link';
import type PeerMessage from './PeerMessage';

const CLOSE_GRACE_MS = 1000;

/** The parts of a link over an open stream. */
interface StreamLinkParts {
  readonly timer: TimerService;
  /** The peer's hello, already verified. */
  readonly peer: Hello;
  /** The frame that starts with the peer's hello; it may contain further messages. */
  readonly first?: Frame;
  /** The peer's frames after the first. */
  readonly incoming: AsyncIterator<Frame>;
  /** The send queue, whose frames are written to the stream. */
  readonly outgoing: FrameQueue;
  /** Resets the stream, if the peer does not respond to a clean close. */
  readonly reset: () => void;
}

/** A link over one bidirectional stream; used on both the dialling and the listening side. */
export default class StreamLink implements Link {
  lastSentAt: number;

  lastReceivedAt: number;

  failure: string | undefined;

  private readonly closeController = new AbortController();

  private readonly inbox = Inbox.create(() => this.closeController.abort());

  private closeTimer: Subscription | undefined;

  private hasStreamEnded = false;

  private constructor(private readonly parts: StreamLinkParts) {
    this.lastSentAt = parts.timer.now();
    this.lastReceivedAt = this.lastSentAt;
  }

  /** Creates a link over a stream on which both hellos were exchanged, and starts to read it. */
  static open(parts: StreamLinkParts): StreamLink {
    const link = new StreamLink(parts);
    if (parts.first) link.inbox.push(messagesOf(parts.first).slice(1));
    link.receive().catch(() => link.abort());
    return link;
  }

  get peer(): Hello {
    return this.parts.peer;
  }

  get closed(): AbortSignal {
    return this.closeController.signal;
  }

  send(message: PeerMessage): void {
    if (this.hasStreamEnded || this.closed.aborted) return;
    this.lastSentAt = this.parts.timer.now();
    this.parts.outgoing.send(message);
  }

  messages(): AsyncIterable<PeerMessage> {
    return this.inbox.read();
  }

  close(isUnresponsive = false): void {
    if (this.closed.aborted) return;
    if (isUnresponsive) {
      this.failure = 'the peer is silent';
      this.abort();
      return;
    }
    this.parts.outgoing.end();
    this.inbox.abort();
    if (this.hasStreamEnded) return;
    this.closeTimer = this.parts.timer.after(CLOSE_GRACE_MS, this.parts.reset);
  }

  /** Ends the link without writing the queued messages. */
  abort(): void {
    this.parts.outgoing.abort();
    this.inbox.abort();
    this.parts.reset();
  }

  private async receive(): Promise<void> {
    try {
      for (;;) {
        const { done, value } = await this.parts.incoming.next();
        if (done) return;
        this.lastReceivedAt = this.parts.timer.now();
        this.inbox.push(messagesOf(value));
        await this.inbox.waitForSpace();
      }
    } catch (cause) {
      // A failed stream is handled like a closed one; the dialling side opens the next link.
      if (!this.closed.aborted) this.failure ??= ConnectError.from(cause).rawMessage;
    } finally {
      this.hasStreamEnded = true;
      this.closeTimer?.cancel();
      this.parts.outgoing.end();
      this.inbox.finish();
    }
  }
}

function messagesOf(frame: Frame): PeerMessage[] {
  return frame.messages.flatMap(({ kind }) => (kind.case === undefined ? [] : [kind]));
}
