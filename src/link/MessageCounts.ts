import { create, toBinary } from '@bufbuild/protobuf';
import { MessageSchema, RefusalCause, TaskStatus } from '../gen/magnoliakeel/v1/peer_pb';
import type PeerMessage from './PeerMessage';

/** Messages of one kind. */
interface KindCount {
  messages: number;
  /** Bytes on the wire, estimated from a sample. */
  bytes: number;
}

/**
 * Counts the messages that this process has sent on its links, by kind. Results
 * are counted per status, and refusals per cause. Bytes are estimated from one
 * message of sixteen, since encoding each one twice would cost too much.
 */
export default class MessageCounts {
  /** The counts of this process. */
  static readonly global = new MessageCounts();

  private readonly countsByKind = new Map<string, KindCount>();

  private constructor() {}

  /** Counts a sent message. */
  add(message: PeerMessage): void {
    const kind = kindOf(message);
    let count = this.countsByKind.get(kind);
    if (!count) {
      count = { messages: 0, bytes: 0 };
      this.countsByKind.set(kind, count);
    }
    if (count.messages % SAMPLE_INTERVAL === 0)
      count.bytes += SAMPLE_INTERVAL * encodedSize(message);
    count.messages += 1;
  }

  /** A copy of the counts so far, by kind. */
  snapshot(): Record<string, KindCount> {
    return Object.fromEntries([...this.countsByKind].map(([kind, count]) => [kind, { ...count }]));
  }
}

/** The size of one message out of this many is measured. */
const SAMPLE_INTERVAL = 16;

function kindOf(message: PeerMessage): string {
  if (message.case === 'refuse') return `refuse.${RefusalCause[message.value.cause]}`;
  if (message.case === 'done') return `done.${TaskStatus[message.value.status]}`;
  if (message.case === 'lend' && message.value.credits.length === 0) return 'lend.EMPTY';
  return message.case;
}

function encodedSize(message: PeerMessage): number {
  try {
    return toBinary(MessageSchema, create(MessageSchema, { kind: message })).length;
  } catch {
    // A message that cannot be encoded ends its link when it is written, and is logged there; counting must
    // not end the process.
    return 0;
  }
}
