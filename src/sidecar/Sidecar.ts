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
import BackendLease from './BackendLease';
import Credits from './Credits';
import Dialler from './Dialler';
import Entries from './Entries';
import EntryPeer from './EntryPeer';
import Evidence from './Evidence';
import Ledger from './Ledger';
import Services from './Services';
import type SidecarOptions from './SidecarOptions';
import type SidecarParts from './SidecarParts';
import Slots from './Slots';
import Tasks from './Tasks';
import isMember from '../core/isMember';
import messageHandlers from './messageHandlers';

const EXPIRE_INTERVAL_MS = 10_000;
/** How long entries get to read the last messages and close their links. */
const LINGER_MS = 200;

/**
 * The process beside a backend server. It hands out the backend server's slots
 * as credits, starts tasks and remembers what it started.
 */
export default class Sidecar {
  private readonly view = Versioned.of<View>(create(ViewSchema), (view) => view.number);

  private readonly entries = Entries.create();

  private readonly slots = Slots.create();

  private readonly services = Services.create();

  private readonly ledger: Ledger;

  private readonly lease: BackendLease;

  private readonly credits: Credits;

  private readonly tasks: Tasks;

  private readonly evidence: Evidence;

  private readonly dialler: Dialler;

  private readonly parts: SidecarParts;

  private isLeaving = false;

  /** Time of the last sign that this process runs. */
  private beatAt = 0;

  private constructor(private readonly opts: SidecarOptions) {
    const { entries, slots, view } = this;
    this.ledger = Ledger.create({
      maxBytes: opts.ledgerBytes,
      skewMs: opts.skewMs,
      retentionMs: (service) => this.services.retentionMs(service),
    });
    this.lease = BackendLease.create({
      timer: opts.timer,
      renewMs: opts.renewMs,
      opened: (backend) => this.openBackend(backend),
      closed: (backend) => this.closeBackend(backend),
    });
    const backend = (): Announcement | undefined => this.lease.current;
    const { ledger } = this;
    this.credits = Credits.of({
      slots,
      entries,
      ledger,
      view,
      random: opts.random,
      service: () => backend()?.service,
    });
    const { credits } = this;
    this.tasks = Tasks.of({
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
      unreachable: (lost) => this.loseBackend(lost),
      maxOutputBytes: (service) => this.services.maxOutputBytes(service),
    });
    this.evidence = Evidence.of({ entries, ledger, view, tasks: this.tasks });
    this.dialler = this.createDialler();
    this.parts = {
      view,
      credits,
      configurations: this.services.newest,
      heartbeat: () => this.heartbeat(),
      lease: this.lease,
      tasks: this.tasks,
      evidence: this.evidence,
      dropStrangers: () => this.dropStrangers(),
      putInForce: (configuration) => this.putInForce(configuration),
    };
    view.subscribe(() => this.viewChanged());
  }

  /** Creates a sidecar that does nothing before `run`. */
  static create(opts: SidecarOptions): Sidecar {
    return new Sidecar(opts);
  }

  /** Number of the newest view known; 0 before the first. */
  get viewNumber(): bigint {
    return this.view.number;
  }

  /** Version of the configuration in force; 0 before the first. */
  get configurationVersion(): bigint {
    return this.services.version;
  }

  /** Whether it can be given tasks: linked, with a backend server announced and not leaving. */
  get isReady(): boolean {
    return !this.isLeaving && this.entries.size > 0 && this.lease.current !== undefined;
  }

  /** Entries linked now. */
  get linkCount(): number {
    return this.entries.size;
  }

  /** Tasks that the backend server has now. */
  get runningCount(): number {
    return this.tasks.count;
  }

  /** Slots that take tasks. */
  get slotCount(): number {
    return this.slots.open;
  }

  /** Estimated memory of the evidence. */
  get ledgerBytes(): number {
    return this.ledger.usedBytes;
  }

  /**
   * Takes or renews the backend server's announcement. Returns after how many
   * milliseconds to renew it, or undefined when the sidecar is leaving.
   */
  announce(backend: Announcement): number | undefined {
    if (this.isLeaving) return undefined;
    return this.lease.announce(backend);
  }

  /** The backend server takes no further tasks; those in flight are awaited. */
  withdrawBackend(): void {
    this.lease.end();
  }

  /** Works until the signal aborts, then leaves: no new starts, tasks in flight are awaited. */
  async run(signal: AbortSignal): Promise<void> {
    const { timer, heartbeat } = this.opts;
    this.beatAt = timer.now();
    const beats = timer.every(heartbeat.intervalMs, () => this.beat());
    const expiry = timer.every(EXPIRE_INTERVAL_MS, () => this.expire());
    this.dialler.retarget();
    await aborted(signal);
    await this.leave();
    beats.cancel();
    expiry.cancel();
    this.lease.end();
    await this.dialler.stop();
  }

  private createDialler(): Dialler {
    const { timer, random, network, counters, entries, links, incarnation } = this.opts;
    return Dialler.create({
      timer,
      random,
      network,
      counters,
      links,
      view: this.view,
      seeds: entries,
      key: incarnation,
      hello: (session) => this.hello(session),
      serve: (link) => this.serve(link),
      failed: (address, error) =>
        this.opts.log?.(`serving the link to ${address} failed: ${error}`),
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
      operators: this.opts.operators?.() ?? '',
    });
  }

  /** Serves one link to its end. Messages that are unread at its end are dropped. */
  private async serve(link: Link): Promise<boolean> {
    const peer = EntryPeer.of(link, this.opts.timer);
    if (!this.isWanted(link.peer) || !this.entries.add(peer)) {
      link.close();
      return false;
    }
    this.opened(peer);
    for await (const message of link.messages()) {
      if (link.closed.aborted || this.isHeldUp()) break;
      this.handle(peer, message);
    }
    link.close();
    const isUseful = isMember(this.view.current, peer.incarnation);
    this.lost(peer);
    return isUseful;
  }

  private isWanted(peer: Hello): boolean {
    return peer.role === Role.ENTRY && peer.cluster === this.opts.cluster;
  }

  private handle(peer: EntryPeer, message: PeerMessage): void {
    handleMessage(messageHandlers, { parts: this.parts, peer }, message);
  }

  private opened(peer: EntryPeer): void {
    this.opts.counters.links += 1;
    this.opts.log?.(`linked to entry ${peer.link.peer.instance}`);
    KeepAlive.start(peer.link, this.opts.timer, this.opts.heartbeat, {
      heartbeat: () => this.heartbeat(),
      onSuspicionChange: (suspected) => peer.suspect(suspected),
    });
    const { version } = this.services;
    if (version > 0n) peer.send({ case: 'inForce', value: create(InForceSchema, { version }) });
    this.credits.spread();
  }

  private lost(peer: EntryPeer): void {
    this.opts.log?.(`link to entry ${peer.link.peer.instance} ended`);
    this.entries.remove(peer);
    this.credits.dropEntry(peer.incarnation);
  }

  private viewChanged(): void {
    this.evidence.fenceAll();
    this.dropStrangers();
    this.dialler.retarget();
    this.credits.spread();
  }

  private dropStrangers(): void {
    if (this.view.number === 0n) return;
    this.entries
      .all()
      .filter((peer) => peer.hasSentView && !isMember(this.view.current, peer.incarnation))
      .forEach((peer) => peer.link.close());
  }

  private putInForce(configuration: Configuration): void {
    const adopted = this.services.adopt(configuration);
    if (adopted.isErr()) {
      this.opts.log?.(`configuration ${configuration.version} is unreadable: ${adopted.error}`);
      return;
    }
    if (!adopted.value) return;
    this.opts.log?.(`configuration ${configuration.version} is in force`);
    const value = create(InForceSchema, { version: configuration.version });
    this.entries.broadcast({ case: 'inForce', value });
  }

  private openBackend(backend: Announcement): void {
    this.opts.log?.(`backend server ${backend.address} offers ${backend.slots} slots`);
    this.slots.openUp(backend.slots);
    this.credits.spread();
  }

  private closeBackend(backend: Announcement): void {
    this.opts.log?.(`backend server ${backend.address} takes no further tasks`);
    this.credits.withdraw(false);
    this.tasks.startWaiting();
    this.opts.client.forget(backend);
  }

  private loseBackend(backend: Announcement): void {
    if (this.lease.current?.address === backend.address) this.lease.end();
  }

  /**
   * After this process has been held up for long, what waits on its links is
   * out of date: the links are closed, and the new ones tell what was not run.
   */
  private beat(): void {
    if (this.isHeldUp()) this.entries.all().forEach((peer) => peer.link.close());
    this.beatAt = this.opts.timer.now();
  }

  private isHeldUp(): boolean {
    return this.opts.timer.now() - this.beatAt > this.opts.heartbeat.closeMs;
  }

  private heartbeat(): PeerMessage {
    const value = create(HeartbeatSchema, {
      configurationVersion: this.services.version,
      viewNumber: this.view.number,
    });
    return { case: 'heartbeat', value };
  }

  private expire(): void {
    this.ledger.expire(this.opts.timer.wall());
    this.credits.spread();
  }

  private async leave(): Promise<void> {
    const { timer, drainMs } = this.opts;
    this.opts.log?.(`leaving with ${this.tasks.count} tasks in flight`);
    this.isLeaving = true;
    this.tasks.leave();
    this.credits.withdraw(true);
    await Promise.race([this.tasks.drain(), timer.sleep(drainMs)]);
    this.tasks.abandon();
    this.entries.broadcast({ case: 'goodbye', value: create(GoodbyeSchema) });
    const closed = this.entries.all().map((peer) => aborted(peer.link.closed));
    await Promise.race([Promise.all(closed), timer.sleep(LINGER_MS)]);
  }
}

function aborted(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => resolve(), { once: true });
  });
}
