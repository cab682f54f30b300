import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type TimerService from '../../src/core/TimerService';
import { type Hello, HelloSchema, MessageSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import Inbox from '../../src/link/Inbox';
import type Link from '../../src/link/Link';
import type PeerMessage from '../../src/link/PeerMessage';
import type NetworkFaults from './NetworkFaults';
import type MemoryProcess from './MemoryProcess';
import Pipe from './Pipe';

/** One end of a link on the in-memory network. */
export default class MemoryLink implements Link {
  lastSentAt: number;

  lastReceivedAt: number;

  failure: string | undefined;

  private out: Pipe | undefined;

  private readonly closeController = new AbortController();

  private readonly inbox = Inbox.create(() => this.closeController.abort());

  private constructor(
    readonly peer: Hello,
    private readonly timer: TimerService,
  ) {
    this.lastSentAt = timer.now();
    this.lastReceivedAt = this.lastSentAt;
  }

  /** Creates both ends of a link between two processes; each end has the other's hello. */
  static pair(
    dialler: { process: MemoryProcess; hello: Hello },
    listener: { process: MemoryProcess; hello: Hello },
    faults: NetworkFaults,
  ): [MemoryLink, MemoryLink] {
    const near = new MemoryLink(copyOfHello(listener.hello), faults.timer);
    const far = new MemoryLink(copyOfHello(dialler.hello), faults.timer);
    near.out = Pipe.open(dialler.process, listener.process, faults, () => far.handleBreak());
    far.out = Pipe.open(listener.process, dialler.process, faults, () => near.handleBreak());
    return [near, far].map((link, index, ends) => link.connect(ends[1 - index]!)) as [
      MemoryLink,
      MemoryLink,
    ];
  }

  private other: MemoryLink | undefined;

  get closed(): AbortSignal {
    return this.closeController.signal;
  }

  send(message: PeerMessage): void {
    if (this.closed.aborted) return;
    this.lastSentAt = this.timer.now();
    const bytes = toBinary(MessageSchema, create(MessageSchema, { kind: message }));
    const copy = fromBinary(MessageSchema, bytes).kind as PeerMessage;
    this.out?.send(message.case, () => this.other?.receive(copy), bytes.length);
  }

  messages(): AsyncIterable<PeerMessage> {
    return this.inbox.read();
  }

  close(): void {
    if (this.closed.aborted) return;
    this.out?.end(() => this.other?.handleEnd());
    this.inbox.abort();
  }

  private connect(other: MemoryLink): MemoryLink {
    this.other = other;
    return this;
  }

  private receive(message: PeerMessage): void {
    if (this.closed.aborted) return;
    this.lastReceivedAt = this.timer.now();
    this.inbox.push([message]);
  }

  private handleBreak(): void {
    if (!this.closed.aborted) this.failure = 'the connection is gone';
    this.handleEnd();
  }

  private handleEnd(): void {
    this.out?.discard();
    this.inbox.finish();
  }
}

function copyOfHello(hello: Hello): Hello {
  return fromBinary(HelloSchema, toBinary(HelloSchema, hello));
}
