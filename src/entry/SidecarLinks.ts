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

/** The sidecars linked to this entry. One task serves each link from its opening to its end. */
export default class SidecarLinks {
  private readonly peers = new Map<string, SidecarPeer>();

  private readonly adoptions = new Map<string, ((adopted: Adopted | undefined) => void)[]>();

  private readonly absences = new Map<string, Subscription>();

  private constructor(
    private readonly options: SidecarLinksOptions,
    private readonly dispatcher: Dispatcher,
    private readonly recovery: Recovery,
  ) {}

  /** Creates the links of an entry, none yet. */
  static create(
    options: SidecarLinksOptions,
    dispatcher: Dispatcher,
    recovery: Recovery,
  ): SidecarLinks {
    return new SidecarLinks(options, dispatcher, recovery);
  }

  /** The sidecars that are linked or may come back shortly. */
  all(): SidecarPeer[] {
    return [...this.peers.values()];
  }

  /** Whether a sidecar has an open link. */
  isLinked(incarnation: string): boolean {
    return this.peers.get(incarnation)?.link !== undefined;
  }

  /** The sidecar with an open link, if it has one. */
  linkedPeer(incarnation: string): SidecarPeer | undefined {
    const peer = this.peers.get(incarnation);
    return peer?.link ? peer : undefined;
  }

  /** Ends all links. */
  close(): void {
    this.absences.forEach((absence) => absence.cancel());
    this.peers.forEach((peer) => peer.link?.close());
  }

  /** Sends a message to every linked sidecar. */
  broadcast(message: PeerMessage): void {
    this.peers.forEach((peer) => peer.link?.send(message));
  }

  /** Has a sidecar report a job to this entry; undefined when its link ends first. */
  adopt(incarnation: string, job: string): Promise<HeldJob | undefined> {
    const peer = this.peers.get(incarnation);
    if (!peer?.link) return Promise.resolve(undefined);
    const { self, viewNumber } = this.options;
    const value = create(AdoptSchema, { jobs: [job], owner: self, viewNumber: viewNumber() });
    peer.link.send({ case: 'adopt', value });
    return new Promise((resolve) => {
      const waiting = this.adoptions.get(incarnation) ?? [];
      waiting.push((adopted) => resolve(adopted && (adopted.jobs[0] ?? emptyJob(job))));
      this.adoptions.set(incarnation, waiting);
    });
  }

  /** Serves a sidecar's link until it ends. */
  async serve(link: Link): Promise<void> {
    const peer = this.open(link);
    const keepAlive = KeepAlive.start(link, this.options.timer, this.options.keepAlive, {
      heartbeat: () => ({ case: 'heartbeat', value: this.options.heartbeat(peer) }),
      onSuspicionChange: (suspected) => {
        peer.suspected = suspected;
        if (suspected) this.options.metrics?.suspected('sidecar');
      },
    });
    await readMessages(link, {
      onMessage: (message) => this.receive(peer, message),
      onError: (message, error) => this.options.failed(link.peer, message, error),
    });
    keepAlive.stop();
    this.end(peer, link);
  }

  private open(link: Link): SidecarPeer {
    const { incarnation } = link.peer;
    const peer = this.peers.get(incarnation) ?? SidecarPeer.fromLink(link);
    const older = peer.link;
    peer.link = link;
    peer.suspected = false;
    older?.close();
    this.peers.set(incarnation, peer);
    this.absences.get(incarnation)?.cancel();
    this.absences.delete(incarnation);
    if (older) this.dispatcher.linkEnded(peer);
    this.options.greet(link);
    this.dispatcher.linkOpened(peer);
    this.options.linked(peer);
    return peer;
  }

  private receive(peer: SidecarPeer, message: PeerMessage): void {
    const { dispatcher, recovery } = this;
    const adoptions = this.adoptions.get(peer.incarnation);
    const { options } = this;
    handleMessage(handlers, { dispatcher, recovery, peer, adoptions, options }, message);
  }

  private end(peer: SidecarPeer, link: Link): void {
    if (peer.link !== link) return;
    peer.link = undefined;
    this.dispatcher.linkEnded(peer);
    this.failAdoptions(peer.incarnation);
    if (peer.saidGoodbye) {
      this.lose(peer);
      return;
    }
    const { timer, witnessMs } = this.options;
    this.absences.set(
      peer.incarnation,
      timer.after(witnessMs, () => this.lose(peer)),
    );
  }

  private lose(peer: SidecarPeer): void {
    this.absences.delete(peer.incarnation);
    this.peers.delete(peer.incarnation);
    this.dispatcher.sidecarLost(peer.incarnation);
    this.options.ended(peer);
  }

  private failAdoptions(incarnation: string): void {
    const waiting = this.adoptions.get(incarnation) ?? [];
    this.adoptions.delete(incarnation);
    waiting.forEach((settle) => settle(undefined));
  }
}

/** What a message's handler works on. */
interface Context {
  readonly dispatcher: Dispatcher;
  readonly recovery: Recovery;
  readonly peer: SidecarPeer;
  readonly adoptions: ((adopted: Adopted | undefined) => void)[] | undefined;
  readonly options: SidecarLinksOptions;
}

const handlers: MessageHandlers<Context> = {
  // A sidecar passes on what another entry told it: some entries can't reach one another.
  view: ({ options }, view) => options.views.adopt(view),
  configuration: ({ options }, configuration) => options.configurations.adopt(configuration),
  heartbeat: ({ options, peer }, heartbeat) => {
    const { views, configurations } = options;
    const send = (message: PeerMessage) => peer.link?.send(message);
    const beat = (): PeerMessage => ({ case: 'heartbeat', value: options.heartbeat(peer) });
    syncVersions({ views, configurations, send, heartbeat: beat }, heartbeat);
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
