import { err, ok, Result } from 'neverthrow';
import validateQueueTable from '../gen/validateQueueTable';
import type Queue from './Queue';
import type RequestLimits from './RequestLimits';

/** The content of a table as it is stored and sent. */
interface QueueTableValue {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly limits: RequestLimits;
}

/** The queues of one host. */
interface HostQueues {
  readonly byPrefix: Map<string, Queue>;
  /** The distinct lengths of the prefixes, longest first. */
  readonly prefixLengths: readonly number[];
}

/**
 * One version of the operators' configuration of queues. It is consulted for every request, and a
 * host may have more than a thousand queues, so they are looked up by prefix: there are few
 * distinct lengths to try.
 */
export default class QueueTable {
  /** The table before any configuration is known, without version and queues. */
  static readonly none = QueueTable.of({
    version: 0,
    queues: [],
    limits: { headerBytes: 16_384, bodyBytes: 262_144, headerMs: 3_000, idleMs: 15_000 },
  });

  private readonly hosts: ReadonlyMap<string, HostQueues>;

  private constructor(private readonly value: QueueTableValue) {
    const hosts = new Map<string, Map<string, Queue>>();
    value.queues.forEach((queue) => {
      const host = queue.host.toLowerCase();
      const byPrefix = hosts.get(host) ?? new Map<string, Queue>();
      hosts.set(host, byPrefix);
      // Of two queues with the same prefix the first one is used.
      if (!byPrefix.has(queue.prefix)) byPrefix.set(queue.prefix, queue);
    });
    this.hosts = new Map([...hosts].map(([host, byPrefix]) => [host, toHostQueues(byPrefix)]));
  }

  /** Creates a table from a configuration that is known to be valid. */
  static of(value: QueueTableValue): QueueTable {
    return new QueueTable(value);
  }

  /**
   * Parses the result of `text`; the error describes the first problem, since another version may
   * have sent it.
   */
  static fromText(text: string): Result<QueueTable, string> {
    return Result.fromThrowable(
      JSON.parse,
      String,
    )(text).andThen((value: unknown) => {
      if (validateQueueTable(value)) return ok(new QueueTable(value as QueueTableValue));
      const [firstError] = validateQueueTable.errors ?? [];
      return err(`${firstError?.instancePath}: ${firstError?.message}`);
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

  /** The table as text for another process. */
  get text(): string {
    return JSON.stringify(this.value);
  }

  /** The queue with this host and the longest prefix of the path. */
  find(host: string, path: string): Queue | undefined {
    const queues = this.hosts.get(host.toLowerCase());
    const length = queues?.prefixLengths.find((each) => queues.byPrefix.has(path.slice(0, each)));
    return length === undefined ? undefined : queues?.byPrefix.get(path.slice(0, length));
  }
}

function toHostQueues(byPrefix: Map<string, Queue>): HostQueues {
  const prefixLengths = new Set([...byPrefix.keys()].map((prefix) => prefix.length));
  return { byPrefix, prefixLengths: [...prefixLengths].sort((a, b) => b - a) };
}
