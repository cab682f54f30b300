import { ConnectError } from '@connectrpc/connect';
import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import type { Frame, Hello } from '../gen/magnoliakeel/v1/peer_pb';
import type FrameQueue from './FrameQueue';
import Inbox from './Inbox';
import type Link from './Link';
import type PeerMessage from './PeerMessage';

const CLOSE_GRACE_MS = 1000;

/** The parts of an open stream that a link is made of. */
interface Parts {
  readonly timer: TimerService;
  /** The peer's hello, already checked. */
  readonly peer: Hello;
  /** The frame that began with the peer's hello, which may carry the first messages too. */
  readonly first?: Frame;
  /** Frames of the peer that follow. */
  readonly incoming: AsyncIterator<Frame>;
  /** What is written to the stream. */
  readonly outgoing: FrameQueue;
  /** Ends the stream at once, for when the peer does not take part in its orderly end. */
  readonly reset: () => void;
}

/** A link over one bidirectional stream, the same on the dialling and the listening side. */
export default class StreamLink implements Link {
  lastSentAt: number;

  lastReceivedAt: number;

  failure: string | undefined;

  private readonly end = new AbortController();

  private readonly inbox = Inbox.create(() => this.end.abort());

  private grace: Subscription | undefined;

  private streamEnded = false;

  private constructor(private readonly parts: Parts) {
    this.lastSentAt = parts.timer.now();
    this.lastReceivedAt = this.lastSentAt;
  }

  /** Makes a link of a stream on which both hellos have been exchanged, and starts to read it. */
  static open(parts: Parts): StreamLink {
    const link = new StreamLink(parts);
    if (parts.first) link.inbox.push(messagesOf(parts.first).slice(1));
    link.receive().catch(() => link.abort());
    return link;
  }

  get peer(): Hello {
    return this.parts.peer;
  }

  get closed(): AbortSignal {
    return this.end.signal;
  }

  send(message: PeerMessage): void {
    if (this.streamEnded || this.closed.aborted) return;
    this.lastSentAt = this.parts.timer.now();
    this.parts.outgoing.send(message);
  }

  messages(): AsyncIterable<PeerMessage> {
    return this.inbox.read();
  }

  close(isSilent = false): void {
    if (this.closed.aborted) return;
    if (isSilent) {
      this.failure = 'the peer is silent';
      this.abort();
      return;
    }
    this.parts.outgoing.end();
    this.inbox.abort();
    if (this.streamEnded) return;
    this.grace = this.parts.timer.after(CLOSE_GRACE_MS, this.parts.reset);
  }

  /** Ends the link without writing what is queued. */
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
      // A stream that fails ends like one that is closed; the dialling side opens the next link.
      if (!this.closed.aborted) this.failure ??= ConnectError.from(cause).rawMessage;
    } finally {
      this.streamEnded = true;
      this.grace?.cancel();
      this.parts.outgoing.end();
      this.inbox.finish();
    }
  }
}

function messagesOf(frame: Frame): PeerMessage[] {
  return frame.messages.flatMap(({ kind }) => (kind.case === undefined ? [] : [kind]));
}
