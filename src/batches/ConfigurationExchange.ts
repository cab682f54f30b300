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

interface ConfigurationExchangeOptions {
  readonly timer: TimerService;
  readonly log: EventLog;
  /** The active configuration. */
  readonly table: () => QueueTable;
  /** Called with a configuration from another entry. */
  readonly onConfiguration: (table: QueueTable) => void;
}

/** An entry whose configuration is newer than the active one here. */
interface Source {
  readonly link: Link;
  readonly version: bigint;
}

/**
 * Distributes configurations between entries: by version, with the text only on request. A text may
 * have hundreds of kilobytes, and each entry gets it from the store at the same time; several more
 * copies of it from other entries would fill a slow link for seconds and delay the store's own.
 */
export default class ConfigurationExchange {
  /** Entries with a newer configuration; the latest to announce it are at the end. */
  private readonly sources = new Map<Link, Source>();

  private requestTimer: Subscription | undefined;

  private constructor(private readonly opts: ConfigurationExchangeOptions) {}

  /** Creates an exchange that knows of no other configuration. */
  static create(opts: ConfigurationExchangeOptions): ConfigurationExchange {
    return new ConfigurationExchange(opts);
  }

  /** The message with the version of the active configuration. */
  get versionMessage(): PeerMessage {
    const value = create(ConfigurationKnownSchema, { version: this.version });
    return { case: 'configurationKnown', value };
  }

  /**
   * Handles the announcement of another entry's version. If it is newer, the store is given some
   * time to deliver it first. A process without any configuration requests it immediately, since it
   * can serve nobody.
   */
  handleVersion(link: Link, version: bigint): void {
    if (version <= this.version) return;
    this.sources.delete(link);
    this.sources.set(link, { link, version });
    if (this.requestTimer) return;
    this.requestAfter(this.version === 0n ? 0 : STORE_GRACE_MS);
  }

  /** Sends the active configuration to an entry that requests it. */
  sendConfiguration(link: Link): void {
    const { version, text } = this.opts.table();
    const value = create(ConfigurationSchema, { version: BigInt(version), manifest: text });
    link.send({ case: 'configuration', value });
  }

  /** Handles the text of a configuration; it is parsed only if it is newer. */
  handleConfiguration({ version, manifest }: Configuration): void {
    if (version <= this.version) return;
    const { onConfiguration, log } = this.opts;
    QueueTable.fromText(manifest).match(onConfiguration, (reason) =>
      log.warn('received an invalid configuration from another entry', { version, reason }),
    );
  }

  /** Removes a link that has ended. */
  removeLink(link: Link): void {
    this.sources.delete(link);
  }

  /** Stops requesting. */
  stop(): void {
    this.requestTimer?.cancel();
  }

  private get version(): bigint {
    return BigInt(this.opts.table().version);
  }

  private requestAfter(delayMs: number): void {
    this.requestTimer = this.opts.timer.after(delayMs, () => this.requestNext());
  }

  /**
   * Requests the configuration from one entry that has a newer one, and from another if that one
   * does not respond in time.
   */
  private requestNext(): void {
    this.requestTimer = undefined;
    const newer = [...this.sources.values()].filter(({ version }) => version > this.version);
    this.sources.clear();
    const last = newer.pop();
    if (!last) return;
    newer.forEach((source) => this.sources.set(source.link, source));
    const { link, version } = last;
    this.opts.log.info('requesting the configuration from another entry', {
      entry: link.peer.instance,
      version: Number(version),
      have: Number(this.version),
    });
    link.send({ case: 'configurationWanted', value: create(ConfigurationWantedSchema) });
    this.requestAfter(RESPONSE_TIMEOUT_MS);
  }
}

/** How long the store may take to deliver what another entry already has, ms. */
const STORE_GRACE_MS = 1_000;

/**
 * How long to wait for one entry's response, ms: a large text takes most of a second on a slow
 * link.
 */
const RESPONSE_TIMEOUT_MS = 1_000;
