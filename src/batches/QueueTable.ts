import { err, ok, Result } from 'neverthrow';
import validateQueueTable from '../gen/validateQueueTable';
import type Queue from './Queue';
import type RequestLimits from './RequestLimits';

/** The parts of a table as they are stored and sent. */
interface QueueTableValue {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly limits: RequestLimits;
}

/**
 * One version of the operators' configuration of queues. It is looked up for every request, so the
 * queues of a host are kept together, longest prefix first.
 */
export default class QueueTable {
  /** The table before any configuration is known: it has no version and no queue. */
  static readonly none = QueueTable.of({
    version: 0,
    queues: [],
    limits: { headerBytes: 16_384, bodyBytes: 262_144, headerMs: 3_000, idleMs: 15_000 },
  });

  private readonly hosts = new Map<string, Queue[]>();

  private constructor(private readonly value: QueueTableValue) {
    value.queues.forEach((queue) => {
      const host = queue.host.toLowerCase();
      this.hosts.set(host, [...(this.hosts.get(host) ?? []), queue]);
    });
    this.hosts.forEach((queues) => queues.sort((a, b) => b.prefix.length - a.prefix.length));
  }

  /** Makes a table of a configuration that is known to be valid. */
  static of(value: QueueTableValue): QueueTable {
    return new QueueTable(value);
  }

  /** Reads what `text` gave; the error says what is wrong with it, since another version may have sent it. */
  static fromText(text: string): Result<QueueTable, string> {
    return Result.fromThrowable(
      JSON.parse,
      String,
    )(text).andThen((value: unknown) => {
      if (validateQueueTable(value)) return ok(new QueueTable(value as QueueTableValue));
      const [mistake] = validateQueueTable.errors ?? [];
      return err(`${mistake?.instancePath}: ${mistake?.message}`);
    });
  }

  get version(): number {
    return this.value.version;
  }

  get limits(): RequestLimits {
    return this.value.limits;
  }

  get size(): number {
    return this.value.queues.length;
  }

  /** The table as a text for another process. */
  get text(): string {
    return JSON.stringify(this.value);
  }

  /** The queue with the host and the longest prefix that the path begins with. */
  find(host: string, path: string): Queue | undefined {
    return this.hosts.get(host.toLowerCase())?.find(({ prefix }) => path.startsWith(prefix));
  }
}
