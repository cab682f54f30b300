import { create } from '@bufbuild/protobuf';
import Versioned from '../core/Versioned';
import {
  GoodbyeSchema,
  HeartbeatSchema,
  HelloSchema,
  InForceSchema,
  Role,
  ViewSchema,
  type Configuration,
  type Hello,
  type View,
} from '../gen/magnoliakeel/v1/peer_pb';
import handleMessage from '../link/handleMessage';
import KeepAlive from '../link/KeepAlive';
import type Link from '../link/Link';
import PROTOCOL_VERSION from '../link/PROTOCOL_VERSION';
import type PeerMessage from '../link/PeerMessage';
import type Announcement from './Announcement';
import AnnouncementLease from './AnnouncementLease';
import CreditAllocator from './CreditAllocator';
import EntryDialler from './EntryDialler';
import LinkedEntries from './LinkedEntries';
import LinkedEntry from './LinkedEntry';
import LedgerResponder from './LedgerResponder';
import Ledger from './Ledger';
import ActiveConfiguration from './ActiveConfiguration';
import type SidecarOptions from './SidecarOptions';
import type SidecarMessageContext from './SidecarMessageContext';
import SlotTable from './SlotTable';
import TaskRunner from './TaskRunner';
import isMember from '../core/isMember';
import sidecarMessageHandlers from './sidecarMessageHandlers';

const EXPIRY_INTERVAL_MS = 10_000;
/** How long a shutdown waits for entries to read the last messages and close their links. */
const LINK_CLOSE_TIMEOUT_MS = 200;

/**
 * The process beside a backend server. It issues the backend server's slots to
 * entries as credits, starts tasks and keeps a ledger of those it started.
 */
export default class Sidecar {
  private readonly view = Versioned.of<View>(create(ViewSchema), (view) => view.number);

  private readonly entries = LinkedEntries.create();

  private readonly slots = SlotTable.create();

  private readonly configuration = ActiveConfiguration.create();

  private readonly ledger: Ledger;

  private readonly lease: AnnouncementLease;

  private readonly credits: CreditAllocator;

  private readonly taskRunner: TaskRunner;

  private readonly responder: LedgerResponder;

  private readonly dialler: EntryDialler;

  private readonly messageContext: SidecarMessageContext;

  private isLeaving = false;

  /** Time of the last tick; a long gap means that this process was paused. */
  private lastTickAt = 0;

  private constructor(private readonly opts: SidecarOptions) {
    const { entries, slots, view } = this;
    this.ledger = Ledger.create({
      maxBytes: opts.ledgerBytes,
      skewMs: opts.skewMs,
      retentionMs: (service) => this.configuration.retentionMs(service),
    });
    this.lease = AnnouncementLease.create({
      timer: opts.timer,
      renewMs: opts.renewMs,
      onOpen: (backend) => this.handleBackendOpen(backend),
      onClose: (backend) => this.handleBackendClose(backend),
    });
    const backend = (): Announcement | undefined => this.lease.current;
    const { ledger } = this;
    this.credits = CreditAllocator.of({
      slots,
      entries,
      ledger,
      view,
      random: opts.random,
      service: () => backend()?.service,
    });
    const { credits } = this;
    this.taskRunner = TaskRunner.of({
      entries,
      ledger,
      slots,
      credits,
      view,
      backend,
      timer: opts.timer,
      client: opts.client,
      counters: opts.counters,
      tracer: opts.tracer,
      onUnreachable: (lost) => this.handleBackendUnreachable(lost),
      maxOutputBytes: (service) => this.configuration.maxOutputBytes(service),
    });
    this.responder = LedgerResponder.of({ entries, ledger, view, taskRunner: this.taskRunner });
    this.dialler = this.createDialler();
    this.messageContext = {
      view,
      credits,
      configurations: this.configuration.versioned,
      heartbeat: () => this.heartbeat(),
      lease: this.lease,
      taskRunner: this.taskRunner,
      responder: this.responder,
      closeNonMemberLinks: () => this.closeNonMemberLinks(),
      applyConfiguration: (configuration) => this.applyConfiguration(configuration),
    };
    view.subscribe(() => this.handleViewChange());
  }

  /** Creates a sidecar that does nothing before `run`. */
  static create(opts: SidecarOptions): Sidecar {
    return new Sidecar(opts);
  }

  /** Number of the newest view received; 0 before the first. */
  get viewNumber(): bigint {
    return this.view.number;
  }

  /** Version of the configuration in effect; 0 before the first. */
  get configurationVersion(): bigint {
    return this.configuration.version;
  }

  /** Whether it can accept tasks: linked to an entry, with an announced backend server and not shutting down. */
  get isReady(): boolean {
    return !this.isLeaving && this.entries.size > 0 && this.lease.current !== undefined;
  }

  /** Number of linked entries. */
  get linkCount(): number {
    return this.entries.size;
  }

  /** Number of tasks at the backend server. */
  get runningCount(): number {
    return this.taskRunner.runningCount;
  }

  /** Number of slots that accept tasks. */
  get slotCount(): number {
    return this.slots.openCount;
  }

  /** Estimated memory of the ledger, bytes. */
  get ledgerBytes(): number {
    return this.ledger.usedBytes;
  }

  /**
   * Accepts or renews the backend server's announcement. Returns the renewal
   * interval in milliseconds, or undefined while the sidecar is shutting down.
   */
  announce(backend: Announcement): number | undefined {
    if (this.isLeaving) return undefined;
    return this.lease.announce(backend);
  }

  /** Stops sending tasks to the backend server; those in flight are finished. */
  withdrawBackend(): void {
    this.lease.end();
  }

  /** Runs until the signal aborts, then shuts down gracefully: refuses new starts and waits for tasks in flight. */
  async run(signal: AbortSignal): Promise<void> {
    const { timer, heartbeat } = this.opts;
    this.lastTickAt = timer.now();
    const ticks = timer.every(heartbeat.intervalMs, () => this.tick());
    const expiry = timer.every(EXPIRY_INTERVAL_MS, () => this.expireRecords());
    this.dialler.updateAddresses();
    await whenAborted(signal);
    await this.shutDown();
    ticks.cancel();
    expiry.cancel();
    this.lease.end();
    await this.dialler.stop();
  }

  private createDialler(): EntryDialler {
    const { timer, random, network, counters, entries, links, incarnation } = this.opts;
    return EntryDialler.create({
      timer,
      random,
      network,
      counters,
      links,
      view: this.view,
      seeds: entries,
      rankingKey: incarnation,
      hello: (session) => this.hello(session),
      serve: (link) => this.serve(link),
      onError: (address, error) =>
        this.opts.log?.(`error while serving the link to ${address}: ${error}`),
    });
  }

  private hello(session: bigint): Hello {
    const { cluster, instance, incarnation, zone } = this.opts;
    const service = this.lease.current?.service;
    return create(HelloSchema, {
      cluster,
      instance,
      incarnation,
      zone,
      session,
      protocol: PROTOCOL_VERSION,
      role: Role.SIDECAR,
      services: service === undefined ? [] : [service],
      operators: this.opts.operatorsAddress?.() ?? '',
    });
  }

  /** Serves one link until it ends, and returns whether the peer is a member. Unread messages are dropped. */
  private async serve(link: Link): Promise<boolean> {
    const peer = LinkedEntry.fromLink(link, this.opts.timer);
    if (!this.isEntryOfCluster(link.peer) || !this.entries.add(peer)) {
      link.close();
      return false;
    }
    this.handleLinkOpened(peer);
    for await (const message of link.messages()) {
      if (link.closed.aborted || this.wasPaused()) break;
      this.handleMessage(peer, message);
    }
    link.close();
    const isUseful = isMember(this.view.current, peer.incarnation);
    this.handleLinkEnded(peer);
    return isUseful;
  }

  private isEntryOfCluster(peer: Hello): boolean {
    return peer.role === Role.ENTRY && peer.cluster === this.opts.cluster;
  }

  private handleMessage(peer: LinkedEntry, message: PeerMessage): void {
    handleMessage(sidecarMessageHandlers, { context: this.messageContext, peer }, message);
  }

  private handleLinkOpened(peer: LinkedEntry): void {
    this.opts.counters.linksOpened += 1;
    this.opts.log?.(`linked to entry ${peer.link.peer.instance}`);
    KeepAlive.start(peer.link, this.opts.timer, this.opts.heartbeat, {
      heartbeat: () => this.heartbeat(),
      onSuspicionChange: (suspected) => peer.setSuspected(suspected),
    });
    const { version } = this.configuration;
    if (version > 0n) peer.send({ case: 'inForce', value: create(InForceSchema, { version }) });
    this.credits.distribute();
  }

  private handleLinkEnded(peer: LinkedEntry): void {
    this.opts.log?.(`link to entry ${peer.link.peer.instance} ended`);
    this.entries.remove(peer);
    this.credits.removeEntry(peer.incarnation);
  }

  private handleViewChange(): void {
    this.responder.confirmViewToAll();
    this.closeNonMemberLinks();
    this.dialler.updateAddresses();
    this.credits.distribute();
  }

  private closeNonMemberLinks(): void {
    if (this.view.number === 0n) return;
    this.entries
      .all()
      .filter((peer) => peer.hasReportedView && !isMember(this.view.current, peer.incarnation))
      .forEach((peer) => peer.link.close());
  }

  private applyConfiguration(configuration: Configuration): void {
    const applied = this.configuration.apply(configuration);
    if (applied.isErr()) {
      this.opts.log?.(`cannot parse configuration ${configuration.version}: ${applied.error}`);
      return;
    }
    if (!applied.value) return;
    this.opts.log?.(`configuration ${configuration.version} is in force`);
    const value = create(InForceSchema, { version: configuration.version });
    this.entries.broadcast({ case: 'inForce', value });
  }

  private handleBackendOpen(backend: Announcement): void {
    this.opts.log?.(`backend server ${backend.address} offers ${backend.slots} slots`);
    this.slots.open(backend.slots);
    this.credits.distribute();
  }

  private handleBackendClose(backend: Announcement): void {
    this.opts.log?.(
      `announcement of backend server ${backend.address} has ended: no further tasks are sent to it`,
    );
    this.credits.withdrawAll(false);
    this.taskRunner.startQueued();
    this.opts.client.closeIdle(backend);
  }

  private handleBackendUnreachable(backend: Announcement): void {
    if (this.lease.current?.address === backend.address) this.lease.end();
  }

  /**
   * After a long pause of this process the unread messages on its links are out of
   * date: the links are closed, and on the new ones entries learn what was not run.
   */
  private tick(): void {
    if (this.wasPaused()) this.entries.all().forEach((peer) => peer.link.close());
    this.lastTickAt = this.opts.timer.now();
  }

  private wasPaused(): boolean {
    return this.opts.timer.now() - this.lastTickAt > this.opts.heartbeat.closeMs;
  }

  private heartbeat(): PeerMessage {
    const value = create(HeartbeatSchema, {
      configurationVersion: this.configuration.version,
      viewNumber: this.view.number,
    });
    return { case: 'heartbeat', value };
  }

  private expireRecords(): void {
    this.ledger.expire(this.opts.timer.wall());
    this.credits.distribute();
  }

  private async shutDown(): Promise<void> {
    const { timer, drainMs } = this.opts;
    this.opts.log?.(`shutting down with ${this.taskRunner.runningCount} tasks in flight`);
    this.isLeaving = true;
    this.taskRunner.stopAccepting();
    this.credits.withdrawAll(true);
    await Promise.race([this.taskRunner.whenIdle(), timer.sleep(drainMs)]);
    this.taskRunner.reportRemainingLost();
    this.entries.broadcast({ case: 'goodbye', value: create(GoodbyeSchema) });
    const closed = this.entries.all().map((peer) => whenAborted(peer.link.closed));
    await Promise.race([Promise.all(closed), timer.sleep(LINK_CLOSE_TIMEOUT_MS)]);
  }
}

function whenAborted(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => resolve(), { once: true });
  });
}
