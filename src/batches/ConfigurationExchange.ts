import { create } from '@bufbuild/protobuf';
import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import {
  type Configuration,
  ConfigurationKnownSchema,
  ConfigurationSchema,
  ConfigurationWantedSchema,
} from '../gen/magnoliakeel/v1/peer_pb';
import type Link from '../link/Link';
import type PeerMessage from '../link/PeerMessage';
import type EventLog from '../observe/EventLog';
import QueueTable from './QueueTable';

interface ConfigurationNewsOptions {
  readonly timer: TimerService;
  readonly log: EventLog;
  /** The configuration in force. */
  readonly table: () => QueueTable;
  /** Told of a configuration from another entry. */
  readonly configured: (table: QueueTable) => void;
}

/** An entry that has a configuration which is newer than the one in force here. */
interface Source {
  readonly link: Link;
  readonly version: bigint;
}

/**
 * How entries hear of a configuration from each other: by its version, and the text only when asked. A text may
 * have hundreds of kilobytes, and each entry gets it from the store at the same time; several more copies of
 * it from others would fill a slow link for seconds, and the store's own would come late.
 */
export default class ConfigurationExchange {
  /** Entries that have a newer configuration, those that told of it last at the end. */
  private readonly sources = new Map<Link, Source>();

  private question: Subscription | undefined;

  private constructor(private readonly opts: ConfigurationNewsOptions) {}

  /** Creates one that has heard of no configuration. */
  static create(opts: ConfigurationNewsOptions): ConfigurationExchange {
    return new ConfigurationExchange(opts);
  }

  /** What this entry tells others of the configuration in force. */
  get versionMessage(): PeerMessage {
    const value = create(ConfigurationKnownSchema, { version: this.version });
    return { case: 'configurationKnown', value };
  }

  /**
   * Another entry has a configuration of this version. If it is newer, the store is given some time to
   * tell it first. A process without any configuration asks at once, since it can serve nobody.
   */
  handleVersion(link: Link, version: bigint): void {
    if (version <= this.version) return;
    this.sources.delete(link);
    this.sources.set(link, { link, version });
    if (this.question) return;
    this.askAfter(this.version === 0n ? 0 : STORE_FIRST_MS);
  }

  /** Sends the configuration in force to an entry that asks for it. */
  sendConfiguration(link: Link): void {
    const { version, text } = this.opts.table();
    const value = create(ConfigurationSchema, { version: BigInt(version), manifest: text });
    link.send({ case: 'configuration', value });
  }

  /** Takes the text of a configuration; only a newer one is read. */
  handleConfiguration({ version, manifest }: Configuration): void {
    if (version <= this.version) return;
    const { configured, log } = this.opts;
    QueueTable.fromText(manifest).match(configured, (reason) =>
      log.warn('a configuration of another entry cannot be read', { version, reason }),
    );
  }

  /** A link has ended. */
  removeLink(link: Link): void {
    this.sources.delete(link);
  }

  /** Ends the questions. */
  stop(): void {
    this.question?.cancel();
  }

  private get version(): bigint {
    return BigInt(this.opts.table().version);
  }

  private askAfter(delayMs: number): void {
    this.question = this.opts.timer.after(delayMs, () => this.ask());
  }

  /** Asks one entry that has something newer; another one if that does not answer in time. */
  private ask(): void {
    this.question = undefined;
    const newer = [...this.sources.values()].filter(({ version }) => version > this.version);
    this.sources.clear();
    const last = newer.pop();
    if (!last) return;
    newer.forEach((source) => this.sources.set(source.link, source));
    const { link, version } = last;
    this.opts.log.info('another entry is asked for its configuration', {
      entry: link.peer.instance,
      version: Number(version),
      have: Number(this.version),
    });
    link.send({ case: 'configurationWanted', value: create(ConfigurationWantedSchema) });
    this.askAfter(ANSWER_MS);
  }
}

/** How long the store may take to tell what another entry knows already, ms. */
const STORE_FIRST_MS = 1_000;

/** How long one entry is given to answer, ms: a large text takes most of a second on a slow link. */
const ANSWER_MS = 1_000;
