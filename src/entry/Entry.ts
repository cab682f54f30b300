import { create } from '@bufbuild/protobuf';
import { err, ok, type Result } from 'neverthrow';
import CallerServer from '../callers/CallerServer';
import type CallerSubmission from '../callers/CallerSubmission';
import isMember from '../core/isMember';
import describeListenError from '../core/describeListenError';
import ownerOf from '../core/ownerOf';
import eligibleOwners from '../core/eligibleOwners';
import Versioned from '../core/Versioned';
import Dispatcher from '../dispatch/Dispatcher';
import {
  type Answer,
  AnswerSchema,
  type Configuration,
  ConfigurationSchema,
  GoodbyeSchema,
  type Heartbeat,
  HeartbeatSchema,
  type Hello,
  type InspectRequest,
  type InspectResponse,
  Outcome,
  Role,
  type View,
  ViewSchema,
} from '../gen/magnoliakeel/v1/peer_pb';
import handleMessage from '../link/handleMessage';
import type Link from '../link/Link';
import type Listener from '../link/Listener';
import type PeerMessage from '../link/PeerMessage';
import Membership from '../membership/Membership';
import StoreWatch from '../membership/StoreWatch';
import copyToDeputies from '../recovery/copyToDeputies';
import Recovery from '../recovery/Recovery';
import type Manifest from '../settings/Manifest';
import Admission from './Admission';
import type EntryAddresses from './EntryAddresses';
import EntryIdentity from './EntryIdentity';
import EntryLinks from './EntryLinks';
import entryMessageHandlers from './entryMessageHandlers';
import type EntryOptions from './EntryOptions';
import handOverRecords from './handOverRecords';
import inspectEntry from './inspectEntry';
import JobTable from './JobTable';
import ActiveManifest from './ActiveManifest';
import OwnerWatch from './OwnerWatch';
import createPeerHandlers from './createPeerHandlers';
import RetryBudget from './RetryBudget';
import Router from './Router';
import SidecarLinks from './SidecarLinks';
import SeedLinks from './SeedLinks';
import RosterBroadcaster from './RosterBroadcaster';
import traceRequest from './traceRequest';

/**
 * The process that accepts callers' requests. It owns the jobs whose keys the view
 * assigns to it, dispatches their tasks and answers the callers. Other jobs are
 * forwarded to their owners.
 */
export default class Entry {
  readonly views = Versioned.of<View>(create(ViewSchema), ({ number }) => number);

  readonly configurations = Versioned.of<Configuration>(
    create(ConfigurationSchema),
    ({ version }) => version,
  );

  readonly manifest = ActiveManifest.follow(this.configurations);

  readonly dispatcher: Dispatcher;

  readonly recovery: Recovery;

  readonly jobs: JobTable;

  readonly router: Router;

  readonly sidecarLinks: SidecarLinks;

  readonly entryLinks: EntryLinks;

  readonly rosterBroadcaster: RosterBroadcaster;

  private readonly callers: CallerServer;

  private readonly retryBudget: RetryBudget;

  private readonly identity: EntryIdentity;

  private readonly ownerWatch: OwnerWatch;

  private leaving = false;

  private addresses: EntryAddresses | undefined;

  private listener: Listener | undefined;

  private storeWatch: StoreWatch | undefined;

  private readonly seedLinks: SeedLinks;

  private constructor(private readonly options: EntryOptions) {
    this.identity = EntryIdentity.of(options, () => this.addresses?.peers);
    this.ownerWatch = OwnerWatch.create({
      timer: options.timer,
      views: this.views,
      isSuspected: (incarnation) => this.entryLinks.isSuspected(incarnation),
    });
    this.retryBudget = RetryBudget.create((name) => this.manifest.service(name)?.retryBudget ?? 0);
    this.dispatcher = this.createDispatcher();
    this.recovery = this.createRecovery();
    this.jobs = this.createJobs();
    this.router = this.createRouter();
    this.rosterBroadcaster = this.createRosterBroadcaster();
    this.sidecarLinks = this.createSidecarLinks();
    this.entryLinks = this.createEntryLinks();
    this.seedLinks = this.createSeedLinks();
    this.callers = this.createCallerServer();
  }

  /** Creates an entry that is not listening or running yet. */
  static create(options: EntryOptions): Entry {
    return new Entry(options);
  }

  /** Identifies this run of the process; a restart gets a new one. */
  get incarnation(): string {
    return this.options.incarnation;
  }

  /** Whether the view lists this entry. Only members own jobs. */
  get isMember(): boolean {
    return this.isIn(this.views.current);
  }

  /** Whether requests can be served: a configuration is active and a view is known. */
  get isReady(): boolean {
    return !this.leaving && this.callersManifest !== undefined && this.views.number > 0n;
  }

  /**
   * Binds both listening addresses. The error names the address that could not be
   * bound and why.
   */
  async listen(): Promise<Result<EntryAddresses, string>> {
    const peers = await this.listenToPeers();
    if (peers.isErr()) return err(peers.error);
    const { listen } = this.options.settings;
    const callers = await this.callers.listen(listen.callers);
    if (callers.isErr()) return err(`${listen.callers}: ${describeListenError(callers.error)}`);
    this.addresses = { callers: callers.value, peers: peers.value };
    return ok(this.addresses);
  }

  /** Binds only the address for other processes. Callers within this process use `submit`. */
  async listenToPeers(): Promise<Result<string, string>> {
    const { peers } = this.options.settings.listen;
    const { network, log } = this.options;
    const onError = (error: unknown): void =>
      log.error(`a link could not be accepted or served: ${error}`);
    const handlers = { ...createPeerHandlers(this), onError };
    const listener = await network.listen(peers, () => this.identity.hello(), handlers);
    if (listener.isErr()) return err(`${peers}: ${listener.error.reason}`);
    this.listener = listener.value;
    return ok(listener.value.address);
  }

  /**
   * Runs until the signal aborts and then shuts down gracefully: open jobs are
   * finished and their records handed over. Resolves to `removed` when the other
   * members removed this entry from the view, for example after a long pause.
   */
  async run(signal: AbortSignal): Promise<'stopped' | 'removed'> {
    const stop = new AbortController();
    const membership = this.createMembership();
    this.storeWatch = this.createStoreWatch(membership);
    const watchers = Promise.all([
      this.storeWatch.run(stop.signal),
      this.seedLinks.run(stop.signal),
    ]);
    const unsubscribe = this.subscribe();
    const expiryTimer = this.options.timer.every(EXPIRY_INTERVAL_MS, () => this.dropExpired());
    const ended = await Promise.race([membership.run(stop.signal), whenAborted(signal)]);
    if (ended !== 'removed') await this.leave(membership);
    else await this.drain();
    expiryTimer.cancel();
    unsubscribe();
    stop.abort();
    await watchers;
    await this.close();
    return ended === 'removed' ? 'removed' : 'stopped';
  }

  /** Answers a caller's submission. */
  async submit(request: CallerSubmission, callerGone: AbortSignal): Promise<Answer> {
    const { tracer } = this.options;
    const answer = await traceRequest(tracer, request, (traced) =>
      this.answerTo(traced, callerGone),
    );
    this.options.metrics?.requestAnswered(request.submission.service, answer.outcome);
    return answer;
  }

  private async answerTo(
    { submission, keyed }: CallerSubmission,
    callerGone: AbortSignal,
  ): Promise<Answer> {
    this.retryBudget.deposit(submission.service);
    if (keyed) return this.router.submit(submission, callerGone);
    if (!this.isMember) return notRun('this entry is not a member of the view');
    return this.jobs.runOnce(submission, callerGone);
  }

  /** Describes this entry for operators, with one job's record if the request names a job. */
  inspect(req: InspectRequest): InspectResponse {
    return inspectEntry(this, this.options, this.leaving, req.job);
  }

  /**
   * The manifest that callers' requests are checked against. It is undefined until
   * the store has been listed or all peers in the settings have been contacted, so
   * that a restarted entry does not fall back to a version older than one it used
   * before.
   */
  private get callersManifest(): Manifest | undefined {
    const hasSynced = this.seedLinks.hasContactedAll || this.storeWatch?.hasListed;
    return hasSynced ? this.manifest.withRemoved : undefined;
  }

  private subscribe(): () => void {
    const unsubscribeView = this.views.subscribe((view) => this.viewChanged(view));
    const unsubscribe = this.configurations.subscribe((value) => {
      this.options.log.info(`configuration ${value.version} is in force`);
      this.sidecarLinks.broadcast({ case: 'configuration', value });
      this.entryLinks.broadcast({ case: 'configuration', value });
    });
    return () => {
      unsubscribeView();
      unsubscribe();
    };
  }

  private viewChanged(view: View): void {
    const names = view.members.map(({ instance }) => instance).join(', ');
    this.options.log.info(`view ${view.number}: ${names}`);
    this.options.metrics?.viewChanged(view);
    this.sidecarLinks.broadcast({ case: 'view', value: view });
    this.entryLinks.broadcast({ case: 'view', value: view });
    this.entryLinks.followView(view);
    if (!this.isIn(view) && view.past.some((past) => past.incarnations.includes(this.self))) {
      this.options.log.warn('this entry was removed from the view');
      this.jobs.abortOpenJobs();
    }
    this.ownerWatch.recheck();
  }

  private async leave(membership: Membership): Promise<void> {
    this.leaving = true;
    this.options.log.info('leaving');
    await membership.markLeaving();
    await this.drain();
    const { jobs, views, options } = this;
    const allAccepted = await handOverRecords(
      jobs.records.answered,
      views.current,
      this.self,
      options.network,
    );
    await membership.leave(allAccepted && jobs.openCount === 0);
    this.sidecarLinks.broadcast({ case: 'goodbye', value: create(GoodbyeSchema) });
    this.entryLinks.broadcast({ case: 'goodbye', value: create(GoodbyeSchema) });
  }

  /** Waits until callers are answered and no job is open, for at most the drain time. */
  private async drain(): Promise<void> {
    const { timer, settings } = this.options;
    const deadline = timer.now() + settings.stop.drainMs;
    const closed = this.callers.close(settings.stop.drainMs);
    await Promise.race([closed, timer.sleep(settings.stop.drainMs + FLUSH_MS)]);
    while (this.jobs.openCount > 0 && timer.now() < deadline) await timer.sleep(DRAIN_POLL_MS);
  }

  private async close(): Promise<void> {
    await this.options.timer.sleep(FLUSH_MS);
    this.entryLinks.close();
    this.sidecarLinks.close();
    await this.listener?.close();
  }

  private dropExpired(): void {
    this.jobs.dropExpired();
    const { timer, settings } = this.options;
    const retentionMs = this.manifest.longestRetentionMs + settings.recovery.clockSkewMs;
    this.recovery.expire(timer.wall() - retentionMs);
  }

  private sendInitialState(link: Link): void {
    if (this.views.number > 0n) link.send({ case: 'view', value: this.views.current });
    if (this.configurations.number > 0n) {
      link.send({ case: 'configuration', value: this.configurations.current });
    }
    if (link.peer.role !== Role.ENTRY) return;
    this.rosterBroadcaster.snapshotMessages().forEach((message) => link.send(message));
    link.send({ case: 'heartbeat', value: this.heartbeat() });
  }

  /**
   * A message that cannot be handled, such as one of a later version, closes
   * neither its link nor this process.
   */
  private logUnhandled({ instance }: Hello, message: PeerMessage, error: unknown): void {
    this.options.log.warn(
      `a ${message.case} message from ${instance} could not be handled: ${error}`,
    );
  }

  /** A heartbeat with the loads of all services, or only with those that the receiver needs. */
  private heartbeat(loads = this.dispatcher.serviceLoads()): Heartbeat {
    return create(HeartbeatSchema, {
      loads,
      configurationVersion: this.configurations.number,
      viewNumber: this.views.number,
    });
  }

  private get self(): string {
    return this.options.incarnation;
  }

  private isIn(view: View): boolean {
    return isMember(view, this.self);
  }

  private ownsKey(key: string): boolean {
    return ownerOf(key, eligibleOwners(this.views.current)) === this.self;
  }

  private createDispatcher(): Dispatcher {
    return Dispatcher.create({
      timer: this.options.timer,
      metrics: this.options.metrics,
      tracer: this.options.tracer,
      random: this.options.random,
      policy: this.options.settings.dispatch.policy,
      owner: this.self,
      viewNumber: () => this.views.number,
      weightOf: (team) => this.manifest.shareOf(team),
      maxRunningOf: (team) => this.manifest.maxRunningOf(team),
      ejectionLimitsOf: (name) => this.manifest.service(name)?.eject,
      takeRetry: (service) => this.retryBudget.tryWithdraw(service),
      sendToEntry: (incarnation, message) => this.entryLinks.send(incarnation, message),
    });
  }

  private createRecovery(): Recovery {
    const { timer, network, settings } = this.options;
    return Recovery.create({
      timer,
      network,
      self: this.self,
      views: this.views,
      adopt: (sidecar, job) => this.sidecarLinks.adopt(sidecar, job),
      witnessMs: settings.recovery.witnessMs,
      clockSkewMs: settings.recovery.clockSkewMs,
    });
  }

  private createJobs(): JobTable {
    const { timer, random, settings, network } = this.options;
    const admission = Admission.create(
      {
        manifest: this.manifest,
        recordBytes: settings.limits.recordBytes,
        queueLength: (service) => this.dispatcher.queuedCount(service),
        predictedWaitMs: (service, team) => this.dispatcher.predictedWaitMs(service, team),
        isLeaving: () => this.leaving,
      },
      random,
    );
    const service = (name: string) => this.manifest.service(name);
    return JobTable.create(
      {
        timer,
        metrics: this.options.metrics,
        clockSkewMs: settings.recovery.clockSkewMs,
        ownsKey: (key) => this.ownsKey(key),
        recover: (key, createdMs) => this.recovery.recover(key, createdMs),
        saveCancelled: (record) =>
          copyToDeputies(record, { timer, network, view: this.views.current }),
        refusalFor: (submission, keptBytes, isContinued) =>
          admission.refusalFor(submission, keptBytes, isContinued),
        retentionMsOf: (name) => service(name)?.retentionMs ?? this.manifest.longestRetentionMs,
        taskTimeoutMsOf: (name) => service(name)!.timeoutMs,
        jobTimeoutMsOf: (name) => service(name)!.jobTimeoutMs,
      },
      this.dispatcher,
    );
  }

  private createRouter(): Router {
    const { timer, network, settings } = this.options;
    return Router.create(
      {
        timer,
        network,
        tracer: this.options.tracer,
        self: this.self,
        views: this.views,
        configurations: this.configurations,
        ownerWaitMs: settings.store.leaseMs + settings.heartbeat.suspectMs,
        isSuspected: (incarnation) => this.entryLinks.isSuspected(incarnation),
        watchOwner: (incarnation, callerGone) =>
          this.ownerWatch.watchOwner(incarnation, callerGone),
        nextViewOrDelay: (delayMs) => this.ownerWatch.nextViewOrDelay(delayMs),
      },
      this.jobs,
    );
  }

  private createRosterBroadcaster(): RosterBroadcaster {
    return RosterBroadcaster.create({
      timer: this.options.timer,
      self: this.self,
      recovery: this.recovery,
      jobKeysOnSidecar: (sidecar) => this.jobs.records.keysOnSidecar(sidecar),
      linkedPeer: (incarnation) => this.sidecarLinks.linkedPeer(incarnation),
      broadcast: (message) => this.entryLinks.broadcast(message),
    });
  }

  private createSidecarLinks(): SidecarLinks {
    const { timer, settings, log } = this.options;
    return SidecarLinks.create(
      {
        timer,
        metrics: this.options.metrics,
        self: this.self,
        viewNumber: () => this.views.number,
        views: this.views,
        configurations: this.configurations,
        witnessMs: settings.recovery.witnessMs,
        keepAlive: settings.heartbeat,
        heartbeat: (peer) => this.heartbeat(this.dispatcher.oldestWaits(peer.services)),
        sendInitialState: (link) => this.sendInitialState(link),
        onLinked: (peer) => {
          log.info(`sidecar ${peer.instance} has linked`);
          this.rosterBroadcaster.sidecarLinked(peer);
        },
        onMessageError: (...args) => this.logUnhandled(...args),
        onEnded: (peer) => {
          log.info(`sidecar ${peer.instance} has ended`);
          this.rosterBroadcaster.sidecarEnded(peer);
        },
      },
      this.dispatcher,
      this.recovery,
    );
  }

  private createEntryLinks(): EntryLinks {
    const { timer, random, network, settings } = this.options;
    return EntryLinks.create({
      timer,
      metrics: this.options.metrics,
      random,
      network,
      self: this.self,
      hello: () => this.identity.hello(),
      keepAlive: settings.heartbeat,
      heartbeat: () => this.heartbeat(),
      sendInitialState: (link) => this.sendInitialState(link),
      onMessageError: (...args) => this.logUnhandled(...args),
      onMessage: (from, message) => {
        const { views, configurations, dispatcher, recovery, entryLinks, rosterBroadcaster } = this;
        const heartbeat = (): PeerMessage => ({ case: 'heartbeat', value: this.heartbeat() });
        const context = {
          views,
          configurations,
          dispatcher,
          recovery,
          entryLinks,
          rosterBroadcaster,
          heartbeat,
          from,
        };
        handleMessage(entryMessageHandlers, context, message);
      },
      onUnlinked: (incarnation) => this.dispatcher.entryLost(incarnation),
      onSuspicionChange: () => this.ownerWatch.recheck(),
    });
  }

  private createSeedLinks(): SeedLinks {
    const { timer, random, network, settings } = this.options;
    return SeedLinks.create({
      timer,
      random,
      network,
      addresses: settings.peers,
      self: this.self,
      hello: () => this.identity.hello(),
      keepAlive: settings.heartbeat,
      views: this.views,
      configurations: this.configurations,
      onMessageError: (...args) => this.logUnhandled(...args),
      isNeeded: () => !this.leaving && !this.isMember && this.entryLinks.linked().length === 0,
    });
  }

  private createCallerServer(): CallerServer {
    const { settings, timer, random, log } = this.options;
    return CallerServer.create({
      limits: settings.limits,
      tls: this.options.tls,
      manifest: () => this.callersManifest,
      configurationVersion: () => this.configurations.number,
      waitForVersion: (version) =>
        this.configurations.waitForNumber(version, timer, VERSION_WAIT_MS),
      timer,
      random,
      isLeaving: () => this.leaving,
      submit: (submission, callerGone) => this.submit(submission, callerGone),
      onError: (error) =>
        log.error(`internal error while serving a request: ${(error as Error).stack ?? error}`),
    });
  }

  private createMembership(): Membership {
    const { store, timer, random, settings } = this.options;
    return Membership.create({
      store,
      timer,
      random,
      self: this.identity.member(),
      views: this.views,
      isSuspected: (incarnation) => this.entryLinks.isSuspected(incarnation),
      retentionMs: () => this.manifest.longestRetentionMs,
      leaseMs: settings.store.leaseMs,
      onLeaseRenewal: (isAnswered) => this.storeWatch?.recordCallResult(isAnswered),
    });
  }

  private logStoreReachability(failure: string | undefined): void {
    const { log, settings } = this.options;
    const { address } = settings.store;
    if (failure === undefined) log.info(`store ${address} can be reached again`);
    else log.warn(`store ${address} cannot be reached: ${failure}; going on with what is known`);
  }

  private createStoreWatch(membership: Membership): StoreWatch {
    const { store, timer, random } = this.options;
    return StoreWatch.create({
      store,
      timer,
      random,
      views: this.views,
      configurations: this.configurations,
      onLiveIncarnations: (present) => membership.setLiveIncarnations(present),
      onReachabilityChange: (failure) => this.logStoreReachability(failure),
    });
  }
}

/**
 * How long a caller's request waits for a configuration version that the caller has
 * already seen.
 */
const VERSION_WAIT_MS = 2000;

/** How often expired records are dropped. */
const EXPIRY_INTERVAL_MS = 5000;

/** How often a leaving entry checks whether its jobs are finished. */
const DRAIN_POLL_MS = 50;

/** Time allowed for the last messages to be sent before links are closed. */
const FLUSH_MS = 200;

function notRun(reason: string): Answer {
  return create(AnswerSchema, { outcome: Outcome.NOT_RUN, reason, retryAfterMs: RETRY_AFTER_MS });
}

/** Retry delay for callers of an entry that can't start anything at the moment. */
const RETRY_AFTER_MS = 1000;

function whenAborted(signal: AbortSignal): Promise<'stopped'> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve('stopped');
    signal.addEventListener('abort', () => resolve('stopped'), { once: true });
  });
}
