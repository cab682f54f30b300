import { create } from '@bufbuild/protobuf';
import Backoff from '../core/Backoff';
import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Versioned from '../core/Versioned';
import {
  type Configuration,
  type Heartbeat,
  HeartbeatSchema,
  type Hello,
  Role,
  type View,
} from '../gen/magnoliakeel/v1/peer_pb';
import handleMessage from '../link/handleMessage';
import KeepAlive from '../link/KeepAlive';
import type KeepAliveOptions from '../link/KeepAliveOptions';
import type Link from '../link/Link';
import type MessageHandlers from '../link/MessageHandlers';
import type Network from '../link/Network';
import type PeerMessage from '../link/PeerMessage';
import readMessages from '../peering/readMessages';

interface SeedLinksOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly network: Pick<Network, 'dial'>;
  /** Addresses of other entries, from the settings. */
  readonly addresses: readonly string[];
  readonly self: string;
  readonly hello: () => Hello;
  readonly keepAlive: KeepAliveOptions;
  readonly views: Versioned<View>;
  readonly configurations: Versioned<Configuration>;
  /** Told of a message that could not be handled; the link goes on with the next. */
  readonly failed: (peer: Hello, message: PeerMessage, error: unknown) => void;
  /** Whether this entry is cut off from the members: not one of them, and linked to none. */
  readonly isNeeded: () => boolean;
}

/**
 * Links to the entries that the settings name, for an entry that can't become
 * a member because the store is down: they tell it the view and the
 * configuration, so that it can serve callers by forwarding.
 */
export default class SeedLinks {
  private readonly unasked: Set<string>;

  private sessions = 0n;

  private constructor(private readonly options: SeedLinksOptions) {
    this.unasked = new Set(options.addresses);
  }

  /** Creates the links, none open yet. */
  static create(options: SeedLinksOptions): SeedLinks {
    return new SeedLinks(options);
  }

  /** Whether every address has told what it knows or could not be reached. */
  get hasContactedAll(): boolean {
    return this.unasked.size === 0;
  }

  /** Keeps a link to each address whenever they are needed, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { addresses } = this.options;
    await Promise.all(addresses.map((address) => this.keepAsking(address, signal)));
  }

  private async keepAsking(address: string, signal: AbortSignal): Promise<void> {
    const { timer, random, isNeeded } = this.options;
    const backoff = Backoff.of(FIRST_DELAY_MS, DELAY_LIMIT_MS, random);
    // The store is asked first; as a rule nothing more is needed.
    await timer.sleep(backoff.next(), signal);
    while (!signal.aborted) {
      if (isNeeded()) await this.ask(address, signal);
      else backoff.reset();
      this.unasked.delete(address);
      if (!signal.aborted) await timer.sleep(backoff.next(), signal);
    }
  }

  private async ask(address: string, signal: AbortSignal): Promise<void> {
    const { network, hello } = this.options;
    this.sessions += 1n;
    const dialled = await network.dial(address, { ...hello(), session: this.sessions });
    if (dialled.isOk()) await this.serve(dialled.value, address, signal);
  }

  private async serve(link: Link, address: string, signal: AbortSignal): Promise<void> {
    const { timer, keepAlive, self, isNeeded } = this.options;
    if (link.peer.role !== Role.ENTRY || link.peer.incarnation === self) {
      link.close();
      return;
    }
    const close = () => link.close();
    signal.addEventListener('abort', close, { once: true });
    KeepAlive.start(link, timer, keepAlive, {
      heartbeat: () => ({ case: 'heartbeat', value: this.heartbeat() }),
      onSuspicionChange: () => undefined,
    });
    await readMessages(link, {
      onMessage: (message) => {
        handleMessage(handlers, this.options, message);
        // A greeting ends with a heartbeat; before it, something may be missing.
        if (message.case !== 'heartbeat') return;
        this.hear(address, message.value, link);
        if (!isNeeded()) link.close();
      },
      onError: (message, error) => this.options.failed(link.peer, message, error),
    });
    signal.removeEventListener('abort', close);
  }

  private hear(address: string, heartbeat: Heartbeat, link: Link): void {
    this.unasked.delete(address);
    const { views, configurations } = this.options;
    const isBehind =
      heartbeat.viewNumber > views.number || heartbeat.configurationVersion > configurations.number;
    const own: PeerMessage = { case: 'heartbeat', value: this.heartbeat() };
    if (isBehind) link.send(own);
  }

  /** Without loads: an entry that is no member lends no credits. */
  private heartbeat(): Heartbeat {
    const { views, configurations } = this.options;
    return create(HeartbeatSchema, {
      configurationVersion: configurations.number,
      viewNumber: views.number,
    });
  }
}

const FIRST_DELAY_MS = 200;
const DELAY_LIMIT_MS = 2000;

const handlers: MessageHandlers<Pick<SeedLinksOptions, 'views' | 'configurations'>> = {
  view: ({ views }, view) => views.adopt(view),
  configuration: ({ configurations }, configuration) => configurations.adopt(configuration),
};
