import { create } from '@bufbuild/protobuf';
import { err, ok, type Result } from 'neverthrow';
import CallerServer from '../callers/CallerServer';
import type CallerSubmission from '../callers/CallerSubmission';
import listenProblem from '../core/listenProblem';
import ownerOf from '../core/ownerOf';
import Versioned from '../core/Versioned';
import Dispatcher from '../dispatch/Dispatcher';
import {
  type Answer,
  AnswerSchema,
  ClaimResponseSchema,
  type Configuration,
  ConfigurationSchema,
  GoodbyeSchema,
  HandoverResponseSchema,
  type Heartbeat,
  HeartbeatSchema,
  type Hello,
  HelloSchema,
  type InspectRequest,
  type InspectResponse,
  type Member,
  MemberSchema,
  Outcome,
  Role,
  type View,
  ViewSchema,
} from '../gen/magnoliakeel/v1/peer_pb';
import handleMessage from '../link/handleMessage';
import type Link from '../link/Link';
import type Listener from '../link/Listener';
import type PeerHandlers from '../link/PeerHandlers';
import PROTOCOL_VERSION from '../link/PROTOCOL_VERSION';
import Membership from '../membership/Membership';
import StoreWatch from '../membership/StoreWatch';
import Recovery from '../recovery/Recovery';
import Admission from './Admission';
import type EntryAddresses from './EntryAddresses';
import EntryLinks from './EntryLinks';
import entryMessageHandlers from './entryMessageHandlers';
import type EntryOptions from './EntryOptions';
import handOver from './handOver';
import inspectEntry from './inspectEntry';
import Jobs from './Jobs';
import learnFromPeers from './learnFromPeers';
import ManifestView from './ManifestView';
import RetryBudget from './RetryBudget';
import Router from './Router';
import SidecarLinks from './SidecarLinks';
import Sightings from './Sightings';
import traceRequest from './traceRequest';

/**
 * The process that takes callers' requests. It owns the jobs that fall to it
 * in the view, dispatches their tasks and answers; other jobs it forwards.
 */
export default class Entry {
  readonly views = Versioned.of<View>(create(ViewSchema), ({ number }) => number);

  readonly configurations = Versioned.of<Configuration>(
    create(ConfigurationSchema),
    ({ version }) => version,
  );

  readonly manifest = ManifestView.follow(this.configurations);

  readonly dispatcher: Dispatcher;

  readonly recovery: Recovery;

  readonly jobs: Jobs;

  readonly router: Router;

  readonly sidecarLinks: SidecarLinks;

  readonly entryLinks: EntryLinks;

  private readonly sightings: Sightings;

  private readonly callers: CallerServer;

  private readonly budget: RetryBudget;

  private readonly watchers = new Set<() => void>();

  private leaving = false;

  private addresses: EntryAddresses | undefined;

  private listener: Listener | undefined;

  private constructor(private readonly options: EntryOptions) {
    this.budget = RetryBudget.create((name) => this.manifest.service(name)?.retryBudget ?? 0);
    this.dispatcher = this.createDispatcher();
    this.recovery = this.createRecovery();
    this.jobs = this.createJobs();
    this.router = this.createRouter();
    this.sightings = this.createSightings();
    this.sidecarLinks = this.createSidecarLinks();
    this.entryLinks = this.createEntryLinks();
    this.callers = this.createCallerServer();
  }

  /** Creates an entry that neither listens nor works yet. */
  static create(options: EntryOptions): Entry {
    return new Entry(options);
  }

  /** The name of this run of the process. */
  get incarnation(): string {
    return this.options.incarnation;
  }

  /** Whether the view names this entry, so that it can own jobs. */
  get isMember(): boolean {
    return this.isIn(this.views.current);
  }

  /** Whether requests can be served: a configuration is in force and there is a view. */
  get isReady(): boolean {
    return !this.leaving && this.manifest.current !== undefined && this.views.number > 0n;
  }

  /** The addresses in use, once it listens. */
  get listening(): EntryAddresses | undefined {
    return this.addresses;
  }

  /** Opens the listening addresses. The error says which could not be had and why. */
  async listen(): Promise<Result<EntryAddresses, string>> {
    const peers = await this.listenToPeers();
    if (peers.isErr()) return err(peers.error);
    const { listen } = this.options.settings;
    const callers = await this.callers.listen(listen.callers);
    if (callers.isErr()) return err(`${listen.callers}: ${listenProblem(callers.error)}`);
    this.addresses = { callers: callers.value, peers: peers.value };
    return ok(this.addresses);
  }

  /** Opens the address for other processes only; for callers in this process, who use `submit`. */
  async listenToPeers(): Promise<Result<string, string>> {
    const { peers } = this.options.settings.listen;
    const { network } = this.options;
    const listener = await network.listen(peers, () => this.hello(), this.peerHandlers());
    if (listener.isErr()) return err(`${peers}: ${listener.error.reason}`);
    this.listener = listener.value;
    return ok(listener.value.address);
  }

  /**
   * Works until the signal aborts and then leaves: jobs are finished, their
   * records handed over. Ends with `removed` when the others removed it, as
   * after a long pause.
   */
  async run(signal: AbortSignal): Promise<'stopped' | 'removed'> {
    const stop = new AbortController();
    const membership = this.createMembership();
    const watch = this.createWatch(membership);
    const watching = Promise.all([watch.run(stop.signal), this.learn(stop.signal)]);
    const unsubscribe = this.subscribe();
    const sweep = this.options.timer.every(SWEEP_MS, () => this.sweep());
    const ended = await Promise.race([membership.run(stop.signal), whenAborted(signal)]);
    if (ended !== 'removed') await this.leave(membership);
    else await this.finishCallers();
    sweep.cancel();
    unsubscribe();
    stop.abort();
    await watching;
    await this.close();
    return ended === 'removed' ? 'removed' : 'stopped';
  }

  /** The answer to a caller's submission. */
  async submit(request: CallerSubmission, gone: AbortSignal): Promise<Answer> {
    const { tracer } = this.options;
    const answer = await traceRequest(tracer, request, (traced) => this.answerTo(traced, gone));
    this.options.metrics?.requestAnswered(request.submission.service, answer.outcome);
    return answer;
  }

  private async answerTo(
    { submission, keyed }: CallerSubmission,
    gone: AbortSignal,
  ): Promise<Answer> {
    this.budget.earn(submission.service);
    if (keyed) return this.router.submit(submission, gone);
    if (!this.isMember) return notRun('this entry is not a member of the view');
    return this.jobs.runOnce(submission, gone);
  }

  /** What operators see of this entry. */
  inspect(req: InspectRequest): InspectResponse {
    return inspectEntry(this, this.options, this.leaving, req.job);
  }

  private learn(signal: AbortSignal): Promise<void> {
    const { timer, random, network, settings } = this.options;
    const { views, configurations } = this;
    const hello = () => this.hello();
    const addresses = settings.peers;
    return learnFromPeers(
      { timer, random, network, addresses, hello, views, configurations },
      signal,
    );
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
    this.entryLinks.follow(view);
    if (!this.isIn(view) && view.past.some((past) => past.incarnations.includes(this.self))) {
      this.options.log.warn('this entry was removed from the view');
      this.jobs.abandon();
    }
    this.wakeWatchers();
  }

  private async leave(membership: Membership): Promise<void> {
    this.leaving = true;
    this.options.log.info('leaving');
    await membership.retire();
    await this.finishCallers();
    await handOver(this.jobs.answered(), this.views.current, this.options.network);
    await membership.leave();
    this.sidecarLinks.broadcast({ case: 'goodbye', value: create(GoodbyeSchema) });
    this.entryLinks.broadcast({ case: 'goodbye', value: create(GoodbyeSchema) });
  }

  /** Waits until callers have their answers and no job is open, at most for the drain time. */
  private async finishCallers(): Promise<void> {
    const { timer, settings } = this.options;
    const deadline = timer.now() + settings.stop.drainMs;
    const closed = this.callers.close(settings.stop.drainMs);
    await Promise.race([closed, timer.sleep(settings.stop.drainMs + LINGER_MS)]);
    while (this.jobs.open > 0 && timer.now() < deadline) await timer.sleep(DRAIN_POLL_MS);
  }

  private async close(): Promise<void> {
    await this.options.timer.sleep(LINGER_MS);
    this.entryLinks.close();
    this.sidecarLinks.close();
    await this.listener?.close();
  }

  private sweep(): void {
    this.jobs.expire();
    const { timer, settings } = this.options;
    const keepMs = this.manifest.longestRetentionMs + settings.recovery.clockSkewMs;
    this.recovery.expire(timer.wall() - keepMs);
  }

  private peerHandlers(): PeerHandlers {
    const never = new AbortController().signal;
    return {
      link: (link) => linkServers[link.peer.role](this, link),
      forward: async ({ submission, view }) => {
        if (view) this.views.adopt(view);
        return this.router.forwarded(submission!, never);
      },
      claim: async ({ job, view }) => {
        if (view) this.views.adopt(view);
        return create(ClaimResponseSchema, { held: this.jobs.holds(job) });
      },
      handover: async ({ view, records }) => {
        if (view) this.views.adopt(view);
        this.jobs.takeOver(records);
        return create(HandoverResponseSchema);
      },
      inspect: async (req) => this.inspect(req),
    };
  }

  private greet(link: Link): void {
    if (this.views.number > 0n) link.send({ case: 'view', value: this.views.current });
    if (this.configurations.number > 0n) {
      link.send({ case: 'configuration', value: this.configurations.current });
    }
    if (link.peer.role !== Role.ENTRY) return;
    this.sightings.everything().forEach((message) => link.send(message));
    link.send({ case: 'heartbeat', value: this.heartbeat() });
  }

  private heartbeat(): Heartbeat {
    return create(HeartbeatSchema, {
      loads: this.dispatcher.serviceLoads(),
      configurationVersion: this.configurations.number,
      viewNumber: this.views.number,
    });
  }

  private hello(): Hello {
    const { settings, incarnation } = this.options;
    return create(HelloSchema, {
      protocol: PROTOCOL_VERSION,
      cluster: settings.cluster,
      role: Role.ENTRY,
      instance: settings.instance,
      incarnation,
      zone: settings.zone,
      address: this.member().address,
      operators: this.options.operators?.() ?? '',
    });
  }

  private member(): Member {
    const { settings, incarnation } = this.options;
    const address = this.advertised();
    return create(MemberSchema, {
      instance: settings.instance,
      incarnation,
      address,
      zone: settings.zone,
      operators: this.options.operators?.() ?? '',
    });
  }

  private advertised(): string {
    const { advertise, listen } = this.options.settings;
    return advertise === listen.peers ? (this.addresses?.peers ?? advertise) : advertise;
  }

  private get self(): string {
    return this.options.incarnation;
  }

  private isIn(view: View): boolean {
    return view.members.some(({ incarnation }) => incarnation === this.self);
  }

  private ownsNew(key: string): boolean {
    const owners = this.views.current.members.filter(({ leaving }) => !leaving);
    const names = owners.map(({ incarnation }) => incarnation);
    return ownerOf(key, names) === this.self;
  }

  private wakeWatchers(): void {
    [...this.watchers].forEach((wake) => wake());
  }

  private async viewOrDelay(delayMs: number): Promise<void> {
    const over = new AbortController();
    const wake = () => over.abort();
    const unsubscribe = this.views.subscribe(wake);
    await this.options.timer.sleep(delayMs, over.signal);
    unsubscribe();
  }

  private untilSuspected(incarnation: string, gone: AbortSignal) {
    const control = new AbortController();
    const check = () => {
      const isMember = this.views.current.members.some(
        (member) => member.incarnation === incarnation,
      );
      if (!isMember || this.entryLinks.isSuspected(incarnation)) control.abort();
    };
    const abort = () => control.abort();
    this.watchers.add(check);
    gone.addEventListener('abort', abort, { once: true });
    const end = () => {
      this.watchers.delete(check);
      gone.removeEventListener('abort', abort);
    };
    return { signal: control.signal, end };
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
      shareOf: (team) => this.manifest.shareOf(team),
      maxRunningOf: (team) => this.manifest.maxRunningOf(team),
      ejectOf: (name) => this.manifest.service(name)?.eject,
      mayRetry: (service) => this.budget.take(service),
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

  private createJobs(): Jobs {
    const { timer, random, settings } = this.options;
    const admission = Admission.create(
      {
        manifest: this.manifest,
        recordBytes: settings.limits.recordBytes,
        queued: (service) => this.dispatcher.queued(service),
        predictedWaitMs: (service, team) => this.dispatcher.predictedWaitMs(service, team),
        isLeaving: () => this.leaving,
      },
      random,
    );
    const service = (name: string) => this.manifest.service(name);
    return Jobs.create(
      {
        timer,
        metrics: this.options.metrics,
        clockSkewMs: settings.recovery.clockSkewMs,
        ownsNew: (key) => this.ownsNew(key),
        resolve: (key, createdMs) => this.recovery.resolve(key, createdMs),
        refuse: (submission, keptBytes) => admission.refuse(submission, keptBytes),
        retentionOf: (name) => service(name)?.retentionMs ?? this.manifest.longestRetentionMs,
        taskTimeoutOf: (name) => service(name)!.timeoutMs,
        jobTimeoutOf: (name) => service(name)!.jobTimeoutMs,
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
        ownerWaitMs: settings.store.leaseMs + settings.heartbeat.suspectMs,
        isSuspected: (incarnation) => this.entryLinks.isSuspected(incarnation),
        untilSuspected: (incarnation, gone) => this.untilSuspected(incarnation, gone),
        viewOrDelay: (delayMs) => this.viewOrDelay(delayMs),
      },
      this.jobs,
    );
  }

  private createSightings(): Sightings {
    return Sightings.create({
      timer: this.options.timer,
      self: this.self,
      recovery: this.recovery,
      keysOn: (sidecar) => this.jobs.keysOn(sidecar),
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
        witnessMs: settings.recovery.witnessMs,
        keepAlive: settings.heartbeat,
        heartbeat: () => this.heartbeat(),
        greet: (link) => this.greet(link),
        linked: (peer) => {
          log.info(`sidecar ${peer.instance} linked`);
          this.sightings.linked(peer);
        },
        ended: (peer) => {
          log.info(`sidecar ${peer.instance} ended`);
          this.sightings.ended(peer);
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
      hello: () => this.hello(),
      keepAlive: settings.heartbeat,
      heartbeat: () => this.heartbeat(),
      greet: (link) => this.greet(link),
      receive: (from, message) => {
        const { views, configurations, dispatcher, recovery, entryLinks, sightings } = this;
        const parts = { views, configurations, dispatcher, recovery, entryLinks, sightings, from };
        handleMessage(entryMessageHandlers, parts, message);
      },
      unlinked: (incarnation) => this.dispatcher.entryLost(incarnation),
      changed: () => this.wakeWatchers(),
    });
  }

  private createCallerServer(): CallerServer {
    const { settings, timer, random, log } = this.options;
    return CallerServer.create({
      limits: settings.limits,
      manifest: () => this.manifest.current,
      timer,
      random,
      isLeaving: () => this.leaving,
      submit: (submission, gone) => this.submit(submission, gone),
      failed: (error) =>
        log.error(`internal error at a request: ${(error as Error).stack ?? error}`),
    });
  }

  private createMembership(): Membership {
    const { store, timer, random, settings } = this.options;
    return Membership.create({
      store,
      timer,
      random,
      self: this.member(),
      views: this.views,
      isSuspected: (incarnation) => this.entryLinks.isSuspected(incarnation),
      retentionMs: () => this.manifest.longestRetentionMs,
      leaseMs: settings.store.leaseMs,
    });
  }

  private storeReached(failure: string | undefined): void {
    const { log, settings } = this.options;
    const { address } = settings.store;
    if (failure === undefined) log.info(`store ${address} answers again`);
    else log.warn(`store ${address} cannot be reached: ${failure}; going on with what is known`);
  }

  private createWatch(membership: Membership): StoreWatch {
    const { store, timer, random } = this.options;
    return StoreWatch.create({
      store,
      timer,
      random,
      views: this.views,
      configurations: this.configurations,
      onPresent: (present) => membership.observe(present),
      onReach: (failure) => this.storeReached(failure),
    });
  }
}

/** How often expired records are dropped. */
const SWEEP_MS = 5000;

/** How often a leaving entry looks whether its jobs are finished. */
const DRAIN_POLL_MS = 50;

/** How long the last messages get to go out. */
const LINGER_MS = 200;

const linkServers: Record<Role, (entry: Entry, link: Link) => Promise<void>> = {
  [Role.UNSPECIFIED]: async (_entry, link) => link.close(),
  [Role.ENTRY]: (entry, link) => entry.entryLinks.serve(link),
  [Role.SIDECAR]: (entry, link) => entry.sidecarLinks.serve(link),
};

function notRun(reason: string): Answer {
  return create(AnswerSchema, { outcome: Outcome.NOT_RUN, reason, retryAfterMs: COME_BACK_MS });
}

/** When a caller may try again at an entry that can't start anything now. */
const COME_BACK_MS = 1000;

function whenAborted(signal: AbortSignal): Promise<'stopped'> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve('stopped');
    signal.addEventListener('abort', () => resolve('stopped'), { once: true });
  });
}
