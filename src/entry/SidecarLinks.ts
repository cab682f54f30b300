import { create } from '@bufbuild/protobuf';
import type Subscription from '../core/Subscription';
import type Dispatcher from '../dispatch/Dispatcher';
import SidecarPeer from '../dispatch/SidecarPeer';
import {
  AdoptSchema,
  type Adopted,
  type HeldJob,
  HeldJobSchema,
} from '../gen/magnoliakeel/v1/peer_pb';
import handleMessage from '../link/handleMessage';
import KeepAlive from '../link/KeepAlive';
import type Link from '../link/Link';
import type MessageHandlers from '../link/MessageHandlers';
import type PeerMessage from '../link/PeerMessage';
import syncVersions from '../membership/syncVersions';
import readMessages from '../peering/readMessages';
import type Recovery from '../recovery/Recovery';
import type SidecarLinksOptions from './SidecarLinksOptions';

/** The sidecars linked to this entry. One async task serves each link until it closes. */
export default class SidecarLinks {
  private readonly peers = new Map<string, SidecarPeer>();

  private readonly pendingAdoptions = new Map<string, ((adopted: Adopted | undefined) => void)[]>();

  private readonly reconnectTimers = new Map<string, Subscription>();

  private constructor(
    private readonly options: SidecarLinksOptions,
    private readonly dispatcher: Dispatcher,
    private readonly recovery: Recovery,
  ) {}

  /** Creates an empty set of links. */
  static create(
    options: SidecarLinksOptions,
    dispatcher: Dispatcher,
    recovery: Recovery,
  ): SidecarLinks {
    return new SidecarLinks(options, dispatcher, recovery);
  }

  /** The sidecars that are linked or may still reconnect. */
  all(): SidecarPeer[] {
    return [...this.peers.values()];
  }

  /** Whether a sidecar has an open link. */
  isLinked(incarnation: string): boolean {
    return this.peers.get(incarnation)?.link !== undefined;
  }

  /** The sidecar, if it has an open link. */
  linkedPeer(incarnation: string): SidecarPeer | undefined {
    const peer = this.peers.get(incarnation);
    return peer?.link ? peer : undefined;
  }

  /** Closes all links. */
  close(): void {
    this.reconnectTimers.forEach((timer) => timer.cancel());
    this.peers.forEach((peer) => peer.link?.close());
  }

  /** Sends a message to every linked sidecar. */
  broadcast(message: PeerMessage): void {
    this.peers.forEach((peer) => peer.link?.send(message));
  }

  /**
   * Asks a sidecar to report a job to this entry as its new owner; undefined if its
   * link ends first.
   */
  adopt(incarnation: string, job: string): Promise<HeldJob | undefined> {
    const peer = this.peers.get(incarnation);
    if (!peer?.link) return Promise.resolve(undefined);
    const { self, viewNumber } = this.options;
    const value = create(AdoptSchema, { jobs: [job], owner: self, viewNumber: viewNumber() });
    peer.link.send({ case: 'adopt', value });
    return new Promise((resolve) => {
      const pending = this.pendingAdoptions.get(incarnation) ?? [];
      pending.push((adopted) => resolve(adopted && (adopted.jobs[0] ?? emptyJob(job))));
      this.pendingAdoptions.set(incarnation, pending);
    });
  }

  /** Serves a sidecar's link until it ends. */
  async serve(link: Link): Promise<void> {
    const peer = this.attach(link);
    const keepAlive = KeepAlive.start(link, this.options.timer, this.options.keepAlive, {
      heartbeat: () => ({ case: 'heartbeat', value: this.options.heartbeat(peer) }),
      onSuspicionChange: (suspected) => {
        peer.suspected = suspected;
        if (suspected) this.options.metrics?.suspected('sidecar');
      },
    });
    await readMessages(link, {
      onMessage: (message) => this.receive(peer, message),
      onError: (message, error) => this.options.onMessageError(link.peer, message, error),
    });
    keepAlive.stop();
    this.linkEnded(peer, link);
  }

  private attach(link: Link): SidecarPeer {
    const { incarnation } = link.peer;
    const peer = this.peers.get(incarnation) ?? SidecarPeer.fromLink(link);
    const previous = peer.link;
    peer.link = link;
    peer.suspected = false;
    previous?.close();
    this.peers.set(incarnation, peer);
    this.reconnectTimers.get(incarnation)?.cancel();
    this.reconnectTimers.delete(incarnation);
    if (previous) this.dispatcher.linkEnded(peer);
    this.options.sendInitialState(link);
    this.dispatcher.linkOpened(peer);
    this.options.onLinked(peer);
    return peer;
  }

  private receive(peer: SidecarPeer, message: PeerMessage): void {
    const { dispatcher, recovery } = this;
    const adoptions = this.pendingAdoptions.get(peer.incarnation);
    const { options } = this;
    handleMessage(handlers, { dispatcher, recovery, peer, adoptions, options }, message);
  }

  private linkEnded(peer: SidecarPeer, link: Link): void {
    if (peer.link !== link) return;
    peer.link = undefined;
    this.dispatcher.linkEnded(peer);
    this.endPendingAdoptions(peer.incarnation);
    if (peer.saidGoodbye) {
      this.markEnded(peer);
      return;
    }
    const { timer, witnessMs } = this.options;
    this.reconnectTimers.set(
      peer.incarnation,
      timer.after(witnessMs, () => this.markEnded(peer)),
    );
  }

  private markEnded(peer: SidecarPeer): void {
    this.reconnectTimers.delete(peer.incarnation);
    this.peers.delete(peer.incarnation);
    this.dispatcher.sidecarLost(peer.incarnation);
    this.options.onEnded(peer);
  }

  private endPendingAdoptions(incarnation: string): void {
    const pending = this.pendingAdoptions.get(incarnation) ?? [];
    this.pendingAdoptions.delete(incarnation);
    pending.forEach((resolve) => resolve(undefined));
  }
}

/** The state that message handlers work on. */
interface Context {
  readonly dispatcher: Dispatcher;
  readonly recovery: Recovery;
  readonly peer: SidecarPeer;
  readonly adoptions: ((adopted: Adopted | undefined) => void)[] | undefined;
  readonly options: SidecarLinksOptions;
}

const handlers: MessageHandlers<Context> = {
  // Sidecars relay views and configurations, since some entries may be unable to reach each other.
  view: ({ options }, view) => options.views.adopt(view),
  configuration: ({ options }, configuration) => options.configurations.adopt(configuration),
  heartbeat: ({ options, peer }, heartbeat) => {
    const { views, configurations } = options;
    const send = (message: PeerMessage) => peer.link?.send(message);
    const nextHeartbeat = (): PeerMessage => ({
      case: 'heartbeat',
      value: options.heartbeat(peer),
    });
    syncVersions({ views, configurations, send, heartbeat: nextHeartbeat }, heartbeat);
  },
  grant: ({ dispatcher, peer }, grant) => dispatcher.handleGrant(peer, grant),
  done: ({ dispatcher, peer }, done) => dispatcher.handleDone(peer, done),
  refuse: ({ dispatcher, peer }, refuse) => dispatcher.handleRefuse(peer, refuse),
  reconciled: ({ dispatcher, peer }, reconciled) => dispatcher.handleReconciled(peer, reconciled),
  withdraw: ({ dispatcher, peer }, withdraw) => {
    peer.leaving ||= withdraw.leaving;
    dispatcher.handleWithdraw(peer, withdraw);
  },
  fenced: ({ recovery, peer }, fenced) => recovery.handleFenced(peer.incarnation, fenced),
  adopted: ({ adoptions }, adopted) => adoptions?.shift()?.(adopted),
  inForce: ({ peer }, { version }) => {
    peer.configurationVersion = version;
  },
  goodbye: ({ peer }) => {
    peer.saidGoodbye = true;
    peer.link?.close();
  },
};

function emptyJob(job: string): HeldJob {
  return create(HeldJobSchema, { job });
}
