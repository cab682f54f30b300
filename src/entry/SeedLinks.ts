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
  /** Addresses of the seed entries, from the settings. */
  readonly addresses: readonly string[];
  readonly self: string;
  readonly hello: () => Hello;
  readonly keepAlive: KeepAliveOptions;
  readonly views: Versioned<View>;
  readonly configurations: Versioned<Configuration>;
  /** Called with a message that could not be handled; the link continues with the next one. */
  readonly onMessageError: (peer: Hello, message: PeerMessage, error: unknown) => void;
  /** Whether this entry is isolated from the members: not one of them, and linked to none. */
  readonly isNeeded: () => boolean;
}

/**
 * Links to the seed entries in the settings, for an entry that can't become a
 * member because the store is down. The seed entries send it the view and the
 * configuration, so that it can serve callers by forwarding.
 */
export default class SeedLinks {
  private readonly uncontacted: Set<string>;

  private lastSession = 0n;

  private constructor(private readonly options: SeedLinksOptions) {
    this.uncontacted = new Set(options.addresses);
  }

  /** Creates the links without opening any. */
  static create(options: SeedLinksOptions): SeedLinks {
    return new SeedLinks(options);
  }

  /** Whether every seed entry has sent its state or could not be reached. */
  get hasContactedAll(): boolean {
    return this.uncontacted.size === 0;
  }

  /** Maintains a link to each address while `isNeeded` returns true, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { addresses } = this.options;
    await Promise.all(addresses.map((address) => this.maintainLink(address, signal)));
  }

  private async maintainLink(address: string, signal: AbortSignal): Promise<void> {
    const { timer, random, isNeeded } = this.options;
    const backoff = Backoff.of(MIN_DELAY_MS, MAX_DELAY_MS, random);
    // The store is tried first and usually makes these links unnecessary.
    await timer.sleep(backoff.next(), signal);
    while (!signal.aborted) {
      if (isNeeded()) await this.connect(address, signal);
      else backoff.reset();
      this.uncontacted.delete(address);
      if (!signal.aborted) await timer.sleep(backoff.next(), signal);
    }
  }

  private async connect(address: string, signal: AbortSignal): Promise<void> {
    const { network, hello } = this.options;
    this.lastSession += 1n;
    const dialled = await network.dial(address, { ...hello(), session: this.lastSession });
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
        // The initial state ends with a heartbeat and may be incomplete before it.
        if (message.case !== 'heartbeat') return;
        this.handleHeartbeat(address, message.value, link);
        if (!isNeeded()) link.close();
      },
      onError: (message, error) => this.options.onMessageError(link.peer, message, error),
    });
    signal.removeEventListener('abort', close);
  }

  private handleHeartbeat(address: string, heartbeat: Heartbeat, link: Link): void {
    this.uncontacted.delete(address);
    const { views, configurations } = this.options;
    const isBehind =
      heartbeat.viewNumber > views.number || heartbeat.configurationVersion > configurations.number;
    const reply: PeerMessage = { case: 'heartbeat', value: this.heartbeat() };
    if (isBehind) link.send(reply);
  }

  /** Has no loads, since an entry that is not a member lends no credits. */
  private heartbeat(): Heartbeat {
    const { views, configurations } = this.options;
    return create(HeartbeatSchema, {
      configurationVersion: configurations.number,
      viewNumber: views.number,
    });
  }
}

const MIN_DELAY_MS = 200;
const MAX_DELAY_MS = 2000;

const handlers: MessageHandlers<Pick<SeedLinksOptions, 'views' | 'configurations'>> = {
  view: ({ views }, view) => views.adopt(view),
  configuration: ({ configurations }, configuration) => configurations.adopt(configuration),
};
