import { create } from '@bufbuild/protobuf';
import {
  BorrowSchema,
  CancelSchema,
  type Done,
  type Grant,
  type Lend,
  type LentCredit,
  LendSchema,
  ReclaimSchema,
  ReconcileSchema,
  type Reconciled,
  RefusalCause,
  type Refuse,
  type ServiceLoad,
  ServiceLoadSchema,
  StartSchema,
  TaskIdSchema,
  TaskResultSchema,
  TaskStatus,
  type Withdraw,
  type Borrow,
} from '../gen/magnoliakeel/v1/peer_pb';
import type PeerMessage from '../link/PeerMessage';
import CreditPool from './CreditPool';
import type DispatcherOptions from './DispatcherOptions';
import OutlierDetector from './OutlierDetector';
import EntryLoads from './EntryLoads';
import type HeldCredit from './HeldCredit';
import PendingBorrows from './PendingBorrows';
import type Placement from './Placement';
import placementPolicies from './placementPolicies';
import type QueuedTask from './QueuedTask';
import type SidecarPeer from './SidecarPeer';
import StartInterval from './StartInterval';
import TeamQueue from './TeamQueue';
import traceStart from './traceStart';

/**
 * Matches an entry's queued tasks with its credits. It starts a task as soon as
 * there is a credit for its service, keeps track of which sidecar runs it, and
 * settles each task exactly once.
 */
export default class Dispatcher {
  readonly entryLoads = EntryLoads.create();

  private readonly services = new Map<string, ServiceState>();

  private readonly running = new Map<string, RunningTask>();

  private readonly runningBySidecar = new Map<string, Set<RunningTask>>();

  private readonly sidecars = new Map<string, SidecarPeer>();

  private readonly lentByEntry = new Map<string, HeldCredit[]>();

  private constructor(private readonly options: DispatcherOptions) {}

  /** Creates a dispatcher without tasks, credits or sidecars. */
  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /** Number of queued tasks of a service. */
  queuedCount(service: string): number {
    return this.services.get(service)?.queue.length ?? 0;
  }

  /** How long another task of the team would wait in the queue, by the average interval of recent starts, in ms. */
  predictedWaitMs(service: string, team: string): number {
    const state = this.services.get(service);
    return state ? state.queue.tasksAhead(team) * state.startInterval.averageMs : 0;
  }

  /** Number of tasks that were sent to sidecars and have not ended. */
  get inFlight(): number {
    return this.running.size;
  }

  /** Queues a task, and starts it at once if there is a credit. */
  enqueue(task: QueuedTask): void {
    const state = this.serviceOf(task.service);
    state.queue.push(task);
    this.dispatch(state);
  }

  /** Removes tasks that need not run any more from the queue; running ones continue. */
  dequeue(tasks: ReadonlySet<QueuedTask>): void {
    const service = first(tasks)?.service;
    const state = service === undefined ? undefined : this.services.get(service);
    if (state && state.queue.length > 0) state.queue.remove(tasks);
  }

  /** Removes tasks from the queue and has sidecars stop those that run. */
  cancel(tasks: ReadonlySet<QueuedTask>): void {
    this.dequeue(tasks);
    const bySidecar = new Map<string, QueuedTask[]>();
    this.running.forEach(({ task, sidecar }) => {
      if (!tasks.has(task)) return;
      bySidecar.set(sidecar, [...(bySidecar.get(sidecar) ?? []), task]);
    });
    bySidecar.forEach((cancelled, sidecar) => {
      this.options.metrics?.messagesWasted('cancelled', cancelled.length);
      const value = create(CancelSchema, { tasks: cancelled.map(taskIdOf) });
      this.send(sidecar, { case: 'cancel', value });
    });
  }

  /** Adds a sidecar whose link has opened, and asks it for the state of the tasks that are still expected from it. */
  linkOpened(peer: SidecarPeer): void {
    this.sidecars.set(peer.incarnation, peer);
    const awaited = [...(this.runningBySidecar.get(peer.incarnation) ?? [])];
    if (awaited.length === 0) return;
    const value = create(ReconcileSchema, { tasks: awaited.map(({ task }) => taskIdOf(task)) });
    this.send(peer.incarnation, { case: 'reconcile', value });
  }

  /** Drops the credits of a sidecar whose link has ended, returning borrowed ones; its tasks are still expected. */
  linkEnded(peer: SidecarPeer): void {
    this.services.forEach((state) =>
      this.returnCredits(state, state.pool.remove(peer.incarnation)),
    );
  }

  /** Gives a sidecar up: its tasks may have run, and nothing more is expected from it. */
  sidecarLost(incarnation: string): void {
    this.sidecars.delete(incarnation);
    this.services.forEach(({ pool, outliers }) => {
      pool.remove(incarnation);
      outliers.remove(incarnation);
    });
    const lost = [...(this.runningBySidecar.get(incarnation) ?? [])];
    lost.forEach((run) => {
      this.untrack(run);
      this.returnCreditOf(run);
      this.handleLostAttempt(run.task, 'the sidecar was lost');
    });
    this.runningBySidecar.delete(incarnation);
  }

  /** Adds credits that a sidecar has granted. */
  handleGrant(peer: SidecarPeer, grant: Grant): void {
    const state = this.serviceOf(grant.service);
    if (!peer.services.includes(grant.service)) peer.services = [...peer.services, grant.service];
    grant.credits.forEach((credit) => state.pool.add({ sidecar: peer.incarnation, credit }));
    this.dispatch(state);
  }

  /** Drops credits that a sidecar has withdrawn. */
  handleWithdraw(peer: SidecarPeer, withdraw: Withdraw): void {
    if (withdraw.leaving) {
      this.services.forEach(({ pool }) => pool.remove(peer.incarnation));
      return;
    }
    this.services.get(withdraw.service)?.pool.remove(peer.incarnation, withdraw.slots);
  }

  /** Settles a task with its result and adds the credit that came with it. */
  handleDone(peer: SidecarPeer, done: Done): void {
    const run = done.task && this.running.get(taskKey(done.task.job, done.task.index));
    const matches = run?.task.attempt === done.task?.attempt;
    if (run && matches) {
      this.untrack(run);
      this.recordOutcome(run, done.status);
      this.settleFinished(run.task, done);
    } else {
      this.options.metrics?.messagesWasted('result_untaken');
    }
    const service = run?.task.service ?? peer.services[0];
    if (service === undefined) return;
    const state = this.serviceOf(service);
    if (done.credit) state.pool.add({ sidecar: peer.incarnation, credit: done.credit });
    this.dispatch(state);
  }

  /** Requeues a task whose start a sidecar has refused; a duplicate start counts as a lost attempt. */
  handleRefuse(peer: SidecarPeer, refuse: Refuse): void {
    const run = refuse.task && this.running.get(taskKey(refuse.task.job, refuse.task.index));
    if (!run || run.sidecar !== peer.incarnation) return;
    this.options.metrics?.startRefused(refuse.cause);
    this.untrack(run);
    this.serviceOf(run.task.service).outliers.taskNotRun(run.sidecar);
    if (refuse.cause === RefusalCause.DUPLICATE) {
      this.handleLostAttempt(run.task, 'the sidecar had started this task before');
      return;
    }
    // A sidecar of a later version may send a cause that is unknown here.
    const cause = RefusalCause[refuse.cause] ?? `cause ${refuse.cause}`;
    this.requeueNotRun(run.task, `refused: ${cause.toLowerCase()}`);
  }

  /** Requeues tasks whose start the sidecar did not receive before its new link, and never will. */
  handleReconciled(peer: SidecarPeer, { notHeld }: Reconciled): void {
    notHeld.forEach((id) => {
      const run = this.running.get(taskKey(id.job, id.index));
      if (!run || run.sidecar !== peer.incarnation) return;
      this.untrack(run);
      this.serviceOf(run.task.service).outliers.taskNotRun(run.sidecar);
      this.returnCreditOf(run);
      this.requeueNotRun(run.task, 'never started before the new link');
    });
  }

  /** Tracks a task that a sidecar is already running, as found in a recovery. */
  trackAdopted(task: QueuedTask, sidecar: string): void {
    this.track({ task, sidecar });
  }

  /** Answers another entry's borrow request with up to half of the idle credits. */
  handleBorrow(entry: string, borrow: Borrow): Lend {
    const state = this.serviceOf(borrow.service);
    this.entryLoads.setIdle(entry, borrow.service, 0);
    const lend = this.lendCredits(state, entry, borrow.wanted);
    if (lend.credits.length > 0) state.borrowers.remove(entry);
    else state.borrowers.add(entry, borrow.wanted, this.options.timer.now());
    return lend;
  }

  /** Adds the credits that another entry has lent or returned; those that can't be used here are sent back. */
  handleLend(entry: string, lend: Lend): void {
    const state = this.serviceOf(lend.service);
    if (!lend.returned) this.recordBorrowAnswer(state, entry, lend);
    const held = lend.credits.map((lent) => this.toHeldCredit(entry, lend, lent));
    const isUsable = ({ sidecar }: HeldCredit) => this.sidecars.get(sidecar)?.link !== undefined;
    const unusable = held.filter((one) => !isUsable(one));
    held.filter(isUsable).forEach((usable) => state.pool.add(usable));
    this.returnCredits(state, unusable);
    this.entryLoads.setIdle(entry, lend.service, unusable.length > 0 ? 0 : lend.idle);
    // An entry that lent unusable credits is not asked again at once, or they would go back and forth.
    if (unusable.length > 0) state.lenders.add(entry, state.queue.length, this.options.timer.now());
    this.dispatch(state);
  }

  /** Removes an entry that was lost, and has the sidecars renew the credits that it had borrowed. */
  entryLost(entry: string): void {
    this.entryLoads.remove(entry);
    this.services.forEach((state) => {
      if (state.awaitedLender === entry) state.awaitedLender = undefined;
      state.lenders.remove(entry);
      state.borrowers.remove(entry);
    });
    const bySidecar = new Map<string, HeldCredit[]>();
    (this.lentByEntry.get(entry) ?? []).forEach((held) => {
      bySidecar.set(held.sidecar, [...(bySidecar.get(held.sidecar) ?? []), held]);
    });
    this.lentByEntry.delete(entry);
    bySidecar.forEach((lent, sidecar) => {
      const value = create(ReclaimSchema, { credits: lent.map(({ credit }) => credit) });
      this.send(sidecar, { case: 'reclaim', value });
    });
  }

  /** Tries again to start queued tasks; called when load reports of other entries have arrived. */
  dispatchQueued(): void {
    this.services.forEach((state) => this.dispatch(state));
  }

  /** The idle credits and queue lengths that this entry reports to others. */
  serviceLoads(): ServiceLoad[] {
    return [...this.services].map(([service, state]) => {
      const oldest = state.queue.oldestQueuedAt();
      return create(ServiceLoadSchema, {
        service,
        idle: this.idleCount(state),
        queued: state.queue.length,
        oldestWaitMs: oldest === undefined ? 0 : Math.ceil(this.options.timer.now() - oldest),
        teams: [...state.teamsRunning]
          .filter(([, running]) => running > 0)
          .map(([team, running]) => ({ team, running })),
      });
    });
  }

  /** The longest wait in the queue of each of the services that has queued tasks, as sidecars need it. */
  oldestWaits(services: readonly string[]): ServiceLoad[] {
    return services.flatMap((service) => {
      const oldest = this.services.get(service)?.queue.oldestQueuedAt();
      if (oldest === undefined) return [];
      const oldestWaitMs = Math.ceil(this.options.timer.now() - oldest);
      return create(ServiceLoadSchema, { service, oldestWaitMs });
    });
  }

  private serviceOf(service: string): ServiceState {
    let state = this.services.get(service);
    if (!state) {
      state = {
        service,
        queue: TeamQueue.create((team) => this.options.weightOf(team)),
        pool: CreditPool.create(),
        teamsRunning: new Map(),
        startInterval: StartInterval.create(),
        outliers: OutlierDetector.create(() => this.options.ejectionLimitsOf?.(service)),
        awaitedLender: undefined,
        lenders: PendingBorrows.create(),
        borrowers: PendingBorrows.create(),
        placedCount: 0,
      };
      this.services.set(service, state);
    }
    return state;
  }

  private dispatch(state: ServiceState): void {
    while (state.queue.length > 0 && this.canPlace(state)) {
      const task = state.queue.shift((team) => this.isBelowTeamLimit(state, team));
      if (!task) return;
      const place = this.choosePlacement(state);
      if (!place) {
        state.queue.pushFront(task);
        break;
      }
      this.startTask(state, task, place);
    }
    if (state.queue.length > 0) this.requestCredits(state);
    else this.lendToPending(state);
  }

  /** Lends idle credits to entries whose borrow requests are pending because there were none. */
  private lendToPending(state: ServiceState): void {
    while (this.idleCount(state) > 0) {
      const req = state.borrowers.takeOldest(this.options.timer.now());
      if (!req) return;
      const value = this.lendCredits(state, req.entry, req.wanted);
      if (!this.options.sendToEntry(req.entry, { case: 'lend', value })) this.restore(state, value);
    }
  }

  private lendCredits(state: ServiceState, entry: string, wanted: number): Lend {
    const taken = state.pool.takeHalf(wanted, (sidecar) => this.isAvoided(state, sidecar));
    this.options.metrics?.creditsLent(state.service, taken.length);
    this.lentByEntry.set(
      entry,
      [...(this.lentByEntry.get(entry) ?? []), ...taken].slice(-MAX_LENT_CREDITS),
    );
    const credits = taken.map(({ sidecar, credit }) => ({ sidecar, credit }));
    return create(LendSchema, { service: state.service, credits, idle: this.idleCount(state) });
  }

  private restore(state: ServiceState, { credits }: Lend): void {
    credits.forEach(({ sidecar, credit }) => {
      if (credit) state.pool.add({ sidecar, credit });
    });
  }

  private canPlace(state: ServiceState): boolean {
    return this.options.policy !== 'credits' || state.pool.size > 0;
  }

  private choosePlacement(state: ServiceState): Placement | undefined {
    const { policy } = this.options;
    if (policy !== 'credits') return this.placeWithoutCredit(state, policy);
    return state.pool.take((sidecar) => this.isAvoided(state, sidecar));
  }

  private isAvoided(state: ServiceState, sidecar: string): boolean {
    if (this.sidecars.get(sidecar)?.suspected ?? true) return true;
    return state.outliers.isEjected(sidecar, this.options.timer.now());
  }

  private idleCount(state: ServiceState): number {
    return state.pool.usableCount((sidecar) => this.isAvoided(state, sidecar));
  }

  private placeWithoutCredit(
    state: ServiceState,
    policy: keyof typeof placementPolicies,
  ): Placement | undefined {
    const candidates = [...this.sidecars.values()]
      .filter((peer) => peer.link && !peer.suspected && !peer.leaving)
      .filter((peer) => peer.services.includes(state.service))
      .map(({ incarnation }) => ({
        incarnation,
        outstanding: this.runningBySidecar.get(incarnation)?.size ?? 0,
      }));
    if (candidates.length === 0) return undefined;
    state.placedCount += 1;
    const picked = placementPolicies[policy](candidates, state.placedCount, this.options.random);
    return { sidecar: picked.incarnation };
  }

  private isBelowTeamLimit(state: ServiceState, team: string): boolean {
    const limit = this.options.maxRunningOf(team);
    if (limit === undefined) return true;
    const here = state.teamsRunning.get(team) ?? 0;
    return here + this.entryLoads.runningCount(state.service, team) < limit;
  }

  private startTask(state: ServiceState, task: QueuedTask, place: Placement): void {
    const { timer, owner, viewNumber, metrics } = this.options;
    const { sidecar, credit } = place;
    metrics?.taskStarted(task.service, timer.now() - task.queuedAt);
    state.outliers.taskStarted(sidecar);
    state.startInterval.recordStart(timer.now(), state.queue.length > 0);
    task.onStarting(sidecar);
    this.track({ task, sidecar, place });
    const oldest = state.queue.oldestQueuedAt();
    const value = create(StartSchema, {
      task: taskIdOf(task),
      service: task.service,
      owner,
      viewNumber: viewNumber(),
      credit,
      input: task.input,
      timeoutMs: task.timeoutMs,
      nextWaitMs: oldest === undefined ? 0 : Math.ceil(timer.now() - oldest),
      digest: task.digest,
      jobSize: task.jobSize,
      createdMs: task.createdMs,
      traceparent: this.traceparentFor(state, task, { sidecar, credit }),
    });
    this.send(sidecar, { case: 'start', value });
  }

  private traceparentFor(state: ServiceState, task: QueuedTask, place: Placement): string {
    const { tracer, policy } = this.options;
    if (!tracer) return task.traceparent;
    const peer = this.sidecars.get(place.sidecar);
    const decision = { policy, place, peer, idle: state.pool.size, queued: state.queue.length };
    return traceStart(tracer, task, decision);
  }

  private requestCredits(state: ServiceState): void {
    if (state.awaitedLender !== undefined || this.options.policy !== 'credits') return;
    const entry = this.chooseLender(state);
    if (entry === undefined) return;
    const value = create(BorrowSchema, { service: state.service, wanted: state.queue.length });
    if (this.options.sendToEntry(entry, { case: 'borrow', value })) {
      state.awaitedLender = entry;
      this.options.metrics?.borrowRequested(state.service);
    } else {
      this.entryLoads.remove(entry);
    }
  }

  /** Records the answer to a borrow request; an entry without idle credits will lend as soon as it has one. */
  private recordBorrowAnswer(state: ServiceState, entry: string, { credits }: Lend): void {
    this.options.metrics?.creditsBorrowed(state.service, credits.length);
    if (state.awaitedLender === entry) state.awaitedLender = undefined;
    if (credits.length > 0) state.lenders.remove(entry);
    else state.lenders.add(entry, state.queue.length, this.options.timer.now());
  }

  private toHeldCredit(
    entry: string,
    { returned }: Lend,
    { sidecar, credit }: LentCredit,
  ): HeldCredit {
    if (!returned) return { sidecar, credit: credit!, lender: entry };
    const lent = this.lentByEntry.get(entry) ?? [];
    const at = lent.findIndex(
      (one) =>
        one.sidecar === sidecar &&
        one.credit.slot === credit!.slot &&
        one.credit.generation === credit!.generation,
    );
    return at < 0 ? { sidecar, credit: credit! } : lent.splice(at, 1)[0]!;
  }

  /** Returns borrowed credits to their lenders; those of a lost lender have been renewed. */
  private returnCredits(state: ServiceState, credits: readonly HeldCredit[]): void {
    const { service, pool } = state;
    const lenders = new Set(credits.flatMap(({ lender }) => lender ?? []));
    lenders.forEach((lender) => {
      const own = credits.filter((held) => held.lender === lender);
      const value = create(LendSchema, {
        service,
        idle: pool.size,
        returned: true,
        credits: own.map(({ sidecar, credit }) => ({ sidecar, credit })),
      });
      this.options.sendToEntry(lender, { case: 'lend', value });
    });
  }

  /** Returns the credit of a start that may not have arrived; if it has, the credit is stale. */
  private returnCreditOf({ task, sidecar, place }: RunningTask): void {
    if (!place?.credit) return;
    this.returnCredits(this.serviceOf(task.service), [
      { sidecar, credit: place.credit, lender: place.lender },
    ]);
  }

  /** The entry with the most idle credits, as far as known; otherwise one to ask for the next idle credit. */
  private chooseLender(state: ServiceState): string | undefined {
    const mostIdle = this.entryLoads.mostIdle(state.service);
    if (mostIdle !== undefined) return mostIdle;
    const pending = state.lenders.entries(this.options.timer.now());
    if (pending.size >= MAX_PENDING_LENDERS) return undefined;
    return this.entryLoads.entries().find((entry) => !pending.has(entry));
  }

  /** Requeues a task that is certain not to have run. */
  private requeueNotRun(task: QueuedTask, reason: string): void {
    task.onNotStarted();
    if (!task.isWanted()) return;
    task.requeued = { at: this.options.timer.now(), reason };
    const state = this.serviceOf(task.service);
    state.queue.pushFront(task);
    this.dispatch(state);
  }

  private recordOutcome({ task, sidecar }: RunningTask, status: TaskStatus): void {
    const failed = status === TaskStatus.FAILED || status === TaskStatus.LOST;
    this.serviceOf(task.service).outliers.taskEnded(sidecar, failed, this.options.timer.now());
  }

  private settleFinished(task: QueuedTask, done: Done): void {
    if (done.status === TaskStatus.LOST) {
      this.handleLostAttempt(task, done.reason);
      return;
    }
    task.onSettled(
      create(TaskResultSchema, {
        index: task.index,
        status: done.status,
        output: done.output,
        runMs: done.runMs,
        reason: done.reason,
      }),
    );
  }

  private handleLostAttempt(task: QueuedTask, reason: string): void {
    if (task.retryable && task.isWanted() && this.options.takeRetry(task.service)) {
      task.attempt += 1;
      task.requeued = { at: this.options.timer.now(), reason };
      this.options.metrics?.taskRetried(task.service);
      const state = this.serviceOf(task.service);
      state.queue.pushFront(task);
      this.dispatch(state);
      return;
    }
    task.onSettled(
      create(TaskResultSchema, { index: task.index, status: TaskStatus.LOST, reason }),
    );
  }

  private track(run: RunningTask): void {
    this.running.set(keyOf(run.task), run);
    const tasks = this.runningBySidecar.get(run.sidecar) ?? new Set();
    tasks.add(run);
    this.runningBySidecar.set(run.sidecar, tasks);
    this.countTeam(run.task, 1);
  }

  private untrack(run: RunningTask): void {
    this.running.delete(keyOf(run.task));
    this.runningBySidecar.get(run.sidecar)?.delete(run);
    this.countTeam(run.task, -1);
  }

  private countTeam(task: QueuedTask, change: number): void {
    const { teamsRunning } = this.serviceOf(task.service);
    teamsRunning.set(task.team, (teamsRunning.get(task.team) ?? 0) + change);
  }

  private send(sidecar: string, message: PeerMessage): void {
    this.sidecars.get(sidecar)?.link?.send(message);
  }
}

/** State of one service. */
interface ServiceState {
  readonly service: string;
  readonly queue: TeamQueue;
  readonly pool: CreditPool;
  readonly teamsRunning: Map<string, number>;
  readonly startInterval: StartInterval;
  readonly outliers: OutlierDetector;
  /** The entry that was asked for credits and has not answered. */
  awaitedLender: string | undefined;
  /** Entries that had no idle credit when asked, and will lend the next one. */
  readonly lenders: PendingBorrows;
  /** Entries that asked when there was no idle credit here. */
  readonly borrowers: PendingBorrows;
  /** Number of tasks placed without a credit. */
  placedCount: number;
}

/** A task that was sent to a sidecar and has not ended. */
interface RunningTask {
  readonly task: QueuedTask;
  readonly sidecar: string;
  /** Where it was placed, with the credit used; undefined for an adopted task. */
  readonly place?: Placement;
}

/** Maximum number of entries at which borrow requests of this one may be pending. */
const MAX_PENDING_LENDERS = 3;

/** Maximum number of lent credits that are remembered for each entry; more than it can hold at once. */
const MAX_LENT_CREDITS = 16_384;

function taskKey(job: string, index: number): string {
  return `${job}/${index}`;
}

function keyOf(task: QueuedTask): string {
  return taskKey(task.job, task.index);
}

function taskIdOf({ job, index, attempt }: QueuedTask) {
  return create(TaskIdSchema, { job, index, attempt });
}

function first(tasks: ReadonlySet<QueuedTask>): QueuedTask | undefined {
  return tasks.values().next().value;
}
