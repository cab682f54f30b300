import { type Hello, Role } from '../gen/magnoliakeel/v1/peer_pb';
import type Link from '../link/Link';
import type PeerMessage from '../link/PeerMessage';
import type Metrics from './Metrics';

/** A link whose messages are counted by kind and by the peer's role. */
export default class MeteredLink implements Link {
  private readonly role: string;

  private constructor(
    private readonly link: Link,
    private readonly metrics: Metrics,
  ) {
    this.role = link.peer.role === Role.SIDECAR ? 'sidecar' : 'entry';
  }

  /** Wraps a link so that its messages are counted. */
  static over(link: Link, metrics: Metrics): Link {
    return new MeteredLink(link, metrics);
  }

  get peer(): Hello {
    return this.link.peer;
  }

  get closed(): AbortSignal {
    return this.link.closed;
  }

  get lastSentAt(): number {
    return this.link.lastSentAt;
  }

  get lastReceivedAt(): number {
    return this.link.lastReceivedAt;
  }

  get failure(): string | undefined {
    return this.link.failure;
  }

  send(message: PeerMessage): void {
    if (!this.closed.aborted) {
      this.metrics.add('messages_sent_total', 1, this.role, message.case);
    }
    this.link.send(message);
  }

  messages(): AsyncIterable<PeerMessage> {
    const messages = this.link.messages();
    return { [Symbol.asyncIterator]: () => this.counted(messages[Symbol.asyncIterator]()) };
  }

  close(isSilent?: boolean): void {
    this.link.close(isSilent);
  }

  private counted(messages: AsyncIterator<PeerMessage>): AsyncIterator<PeerMessage> {
    const count = (next: IteratorResult<PeerMessage>) => {
      if (!next.done) this.metrics.add('messages_received_total', 1, this.role, next.value.case);
      return next;
    };
    return {
      next: () => messages.next().then(count),
      return: async () => (await messages.return?.()) ?? { done: true, value: undefined },
    };
  }
}
