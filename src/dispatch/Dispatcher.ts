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
 * Brings an entry's waiting tasks and its credits together. It starts a task
 * as soon as there is a credit for its service, keeps track of what runs
 * where, and settles each task exactly once.
 */
export default class Dispatcher {
  readonly entryLoads = EntryLoads.create();

  private readonly lanes = new Map<string, Lane>();

  private readonly running = new Map<string, RunningTask>();

  private readonly bySidecar = new Map<string, Set<RunningTask>>();

  private readonly sidecars = new Map<string, SidecarPeer>();

  private readonly lentTo = new Map<string, HeldCredit[]>();

  private constructor(private readonly options: DispatcherOptions) {}

  /** Creates a dispatcher without tasks, credits or sidecars. */
  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /** Number of tasks waiting for a service. */
  queuedCount(service: string): number {
    return this.lanes.get(service)?.queue.length ?? 0;
  }

  /** How long a further task of the team would wait, by the pace of the last starts. */
  predictedWaitMs(service: string, team: string): number {
    const lane = this.lanes.get(service);
    return lane ? lane.queue.tasksAhead(team) * lane.pace.averageMs : 0;
  }

  /** Number of tasks that were sent to sidecars and have not ended. */
  get inFlight(): number {
    return this.running.size;
  }

  /** Queues a task and starts it at once when there is a credit. */
  enqueue(task: QueuedTask): void {
    const lane = this.laneOf(task.service);
    lane.queue.push(task);
    this.pump(lane);
  }

  /** Takes tasks out of the queue that need not run any more; those that run go on. */
  dequeue(tasks: ReadonlySet<QueuedTask>): void {
    const service = first(tasks)?.service;
    const lane = service === undefined ? undefined : this.lanes.get(service);
    if (lane && lane.queue.length > 0) lane.queue.remove(tasks);
  }

  /** Takes tasks out of the queue and stops those that run at their sidecars. */
  cancel(tasks: ReadonlySet<QueuedTask>): void {
    this.dequeue(tasks);
    const bySidecar = new Map<string, QueuedTask[]>();
    this.running.forEach(({ task, sidecar }) => {
      if (!tasks.has(task)) return;
      bySidecar.set(sidecar, [...(bySidecar.get(sidecar) ?? []), task]);
    });
    bySidecar.forEach((cancelled, sidecar) => {
      this.options.metrics?.wasted('cancelled', cancelled.length);
      const value = create(CancelSchema, { tasks: cancelled.map(taskIdOf) });
      this.send(sidecar, { case: 'cancel', value });
    });
  }

  /** Takes note of a sidecar whose link has opened and asks it for what is still awaited. */
  linkOpened(peer: SidecarPeer): void {
    this.sidecars.set(peer.incarnation, peer);
    const awaited = [...(this.bySidecar.get(peer.incarnation) ?? [])];
    if (awaited.length === 0) return;
    const value = create(ReconcileSchema, { tasks: awaited.map(({ task }) => taskIdOf(task)) });
    this.send(peer.incarnation, { case: 'reconcile', value });
  }

  /** Drops the credits of a sidecar whose link has ended, borrowed ones go back; its tasks stay awaited. */
  linkEnded(peer: SidecarPeer): void {
    this.lanes.forEach((lane) => this.giveBack(lane, lane.pool.remove(peer.incarnation)));
  }

  /** Gives a sidecar up: its tasks may have run, and nothing more is expected of it. */
  sidecarLost(incarnation: string): void {
    this.sidecars.delete(incarnation);
    this.lanes.forEach(({ pool, ejections }) => {
      pool.remove(incarnation);
      ejections.remove(incarnation);
    });
    const lost = [...(this.bySidecar.get(incarnation) ?? [])];
    lost.forEach((entry) => {
      this.forget(entry);
      this.giveBackOf(entry);
      this.attemptLost(entry.task, 'the sidecar was lost');
    });
    this.bySidecar.delete(incarnation);
  }

  /** Takes a sidecar's credits. */
  handleGrant(peer: SidecarPeer, grant: Grant): void {
    const lane = this.laneOf(grant.service);
    if (!peer.services.includes(grant.service)) peer.services = [...peer.services, grant.service];
    grant.credits.forEach((credit) => lane.pool.add({ sidecar: peer.incarnation, credit }));
    this.pump(lane);
  }

  /** Drops credits that a sidecar has ended. */
  handleWithdraw(peer: SidecarPeer, withdraw: Withdraw): void {
    if (withdraw.leaving) {
      this.lanes.forEach(({ pool }) => pool.remove(peer.incarnation));
      return;
    }
    this.lanes.get(withdraw.service)?.pool.remove(peer.incarnation, withdraw.slots);
  }

  /** Settles a task with its result and takes the credit that came along. */
  handleDone(peer: SidecarPeer, done: Done): void {
    const entry = done.task && this.running.get(taskKey(done.task.job, done.task.index));
    const matches = entry?.task.attempt === done.task?.attempt;
    if (entry && matches) {
      this.forget(entry);
      this.judge(entry, done.status);
      this.settleDone(entry.task, done);
    } else {
      this.options.metrics?.wasted('result_untaken');
    }
    const service = entry?.task.service ?? peer.services[0];
    if (service === undefined) return;
    const lane = this.laneOf(service);
    if (done.credit) lane.pool.add({ sidecar: peer.incarnation, credit: done.credit });
    this.pump(lane);
  }

  /** Queues a task again that a sidecar refused: it was proven not to have run. */
  handleRefuse(peer: SidecarPeer, refuse: Refuse): void {
    const entry = refuse.task && this.running.get(taskKey(refuse.task.job, refuse.task.index));
    if (!entry || entry.sidecar !== peer.incarnation) return;
    this.options.metrics?.startRefused(refuse.cause);
    this.forget(entry);
    this.laneOf(entry.task.service).ejections.taskNotRun(entry.sidecar);
    if (refuse.cause === RefusalCause.DUPLICATE) {
      this.attemptLost(entry.task, 'the sidecar had started this task before');
      return;
    }
    // A sidecar of a later version may name a cause that is not in the table here.
    const cause = RefusalCause[refuse.cause] ?? `cause ${refuse.cause}`;
    this.startAgain(entry.task, `refused: ${cause.toLowerCase()}`);
  }

  /** Queues the tasks again that a sidecar never started and, after its new link, never will. */
  handleReconciled(peer: SidecarPeer, { notHeld }: Reconciled): void {
    notHeld.forEach((id) => {
      const entry = this.running.get(taskKey(id.job, id.index));
      if (!entry || entry.sidecar !== peer.incarnation) return;
      this.forget(entry);
      this.laneOf(entry.task.service).ejections.taskNotRun(entry.sidecar);
      this.giveBackOf(entry);
      this.startAgain(entry.task, 'never started before the new link');
    });
  }

  /** Awaits a task that a sidecar is known to run already, after a recovery. */
  trackAdopted(task: QueuedTask, sidecar: string): void {
    this.track({ task, sidecar });
  }

  /** Answers another entry's ask for credits with half of the idle ones. */
  handleBorrow(entry: string, borrow: Borrow): Lend {
    const lane = this.laneOf(borrow.service);
    this.entryLoads.setIdle(entry, borrow.service, 0);
    const lend = this.lend(lane, entry, borrow.wanted);
    if (lend.credits.length > 0) lane.wants.remove(entry);
    else lane.wants.add(entry, borrow.wanted, this.options.timer.now());
    return lend;
  }

  /** Takes the credits that another entry lent or returned; those that are of no use here go back. */
  handleLend(entry: string, lend: Lend): void {
    const lane = this.laneOf(lend.service);
    if (!lend.returned) this.noteAnswer(lane, entry, lend);
    const held = lend.credits.map((lent) => this.heldOf(entry, lend, lent));
    const isUsable = ({ sidecar }: HeldCredit) => this.sidecars.get(sidecar)?.link !== undefined;
    const useless = held.filter((one) => !isUsable(one));
    held.filter(isUsable).forEach((usable) => lane.pool.add(usable));
    this.giveBack(lane, useless);
    this.entryLoads.setIdle(entry, lend.service, useless.length > 0 ? 0 : lend.idle);
    // An entry that lent useless credits is not asked again at once: they would only go to and fro.
    if (useless.length > 0) lane.asked.add(entry, lane.queue.length, this.options.timer.now());
    this.pump(lane);
  }

  /** Forgets an entry that was lost and has its sidecars renew the credits it had borrowed. */
  entryLost(entry: string): void {
    this.entryLoads.remove(entry);
    this.lanes.forEach((lane) => {
      if (lane.asking === entry) lane.asking = undefined;
      lane.asked.remove(entry);
      lane.wants.remove(entry);
    });
    const bySidecar = new Map<string, HeldCredit[]>();
    (this.lentTo.get(entry) ?? []).forEach((held) => {
      bySidecar.set(held.sidecar, [...(bySidecar.get(held.sidecar) ?? []), held]);
    });
    this.lentTo.delete(entry);
    bySidecar.forEach((lent, sidecar) => {
      const value = create(ReclaimSchema, { credits: lent.map(({ credit }) => credit) });
      this.send(sidecar, { case: 'reclaim', value });
    });
  }

  /** Tries again to start waiting tasks; meant for when loads of other entries were heard. */
  dispatchQueued(): void {
    this.lanes.forEach((lane) => this.pump(lane));
  }

  /** What this entry tells others of its idle credits and queues. */
  serviceLoads(): ServiceLoad[] {
    return [...this.lanes].map(([service, lane]) => {
      const oldest = lane.queue.oldestQueuedAt();
      return create(ServiceLoadSchema, {
        service,
        idle: this.idle(lane),
        queued: lane.queue.length,
        oldestWaitMs: oldest === undefined ? 0 : Math.ceil(this.options.timer.now() - oldest),
        teams: [...lane.teamsRunning]
          .filter(([, running]) => running > 0)
          .map(([team, running]) => ({ team, running })),
      });
    });
  }

  /** What a sidecar of some services needs of them: how long tasks have waited, where any wait. */
  oldestWaits(services: readonly string[]): ServiceLoad[] {
    return services.flatMap((service) => {
      const oldest = this.lanes.get(service)?.queue.oldestQueuedAt();
      if (oldest === undefined) return [];
      const oldestWaitMs = Math.ceil(this.options.timer.now() - oldest);
      return create(ServiceLoadSchema, { service, oldestWaitMs });
    });
  }

  private laneOf(service: string): Lane {
    let lane = this.lanes.get(service);
    if (!lane) {
      lane = {
        service,
        queue: TeamQueue.create((team) => this.options.weightOf(team)),
        pool: CreditPool.create(),
        teamsRunning: new Map(),
        pace: StartInterval.create(),
        ejections: OutlierDetector.create(() => this.options.ejectionLimitsOf?.(service)),
        asking: undefined,
        asked: PendingBorrows.create(),
        wants: PendingBorrows.create(),
        placed: 0,
      };
      this.lanes.set(service, lane);
    }
    return lane;
  }

  private pump(lane: Lane): void {
    while (lane.queue.length > 0 && this.mayPlace(lane)) {
      const task = lane.queue.shift((team) => this.mayRun(lane, team));
      if (!task) return;
      const place = this.place(lane);
      if (!place) {
        lane.queue.pushFront(task);
        break;
      }
      this.start(lane, task, place);
    }
    if (lane.queue.length > 0) this.borrow(lane);
    else this.lendToWaiting(lane);
  }

  /** Lends credits that are idle now to the entries that asked when there were none. */
  private lendToWaiting(lane: Lane): void {
    while (this.idle(lane) > 0) {
      const ask = lane.wants.takeOldest(this.options.timer.now());
      if (!ask) return;
      const value = this.lend(lane, ask.entry, ask.wanted);
      if (!this.options.sendToEntry(ask.entry, { case: 'lend', value })) this.takeBack(lane, value);
    }
  }

  private lend(lane: Lane, entry: string, wanted: number): Lend {
    const taken = lane.pool.takeHalf(wanted, (sidecar) => this.avoids(lane, sidecar));
    this.options.metrics?.creditsLent(lane.service, taken.length);
    this.lentTo.set(entry, [...(this.lentTo.get(entry) ?? []), ...taken].slice(-LENT_KEPT));
    const credits = taken.map(({ sidecar, credit }) => ({ sidecar, credit }));
    return create(LendSchema, { service: lane.service, credits, idle: this.idle(lane) });
  }

  private takeBack(lane: Lane, { credits }: Lend): void {
    credits.forEach(({ sidecar, credit }) => {
      if (credit) lane.pool.add({ sidecar, credit });
    });
  }

  private mayPlace(lane: Lane): boolean {
    return this.options.policy !== 'credits' || lane.pool.size > 0;
  }

  private place(lane: Lane): Placement | undefined {
    const { policy } = this.options;
    if (policy !== 'credits') return this.placeFreely(lane, policy);
    return lane.pool.take((sidecar) => this.avoids(lane, sidecar));
  }

  private avoids(lane: Lane, sidecar: string): boolean {
    if (this.sidecars.get(sidecar)?.suspected ?? true) return true;
    return lane.ejections.isEjected(sidecar, this.options.timer.now());
  }

  private idle(lane: Lane): number {
    return lane.pool.usableCount((sidecar) => this.avoids(lane, sidecar));
  }

  private placeFreely(lane: Lane, policy: keyof typeof placementPolicies): Placement | undefined {
    const candidates = [...this.sidecars.values()]
      .filter((peer) => peer.link && !peer.suspected && !peer.leaving)
      .filter((peer) => peer.services.includes(lane.service))
      .map(({ incarnation }) => ({
        incarnation,
        outstanding: this.bySidecar.get(incarnation)?.size ?? 0,
      }));
    if (candidates.length === 0) return undefined;
    lane.placed += 1;
    const picked = placementPolicies[policy](candidates, lane.placed, this.options.random);
    return { sidecar: picked.incarnation };
  }

  private mayRun(lane: Lane, team: string): boolean {
    const limit = this.options.maxRunningOf(team);
    if (limit === undefined) return true;
    const here = lane.teamsRunning.get(team) ?? 0;
    return here + this.entryLoads.runningCount(lane.service, team) < limit;
  }

  private start(lane: Lane, task: QueuedTask, place: Placement): void {
    const { timer, owner, viewNumber, metrics } = this.options;
    const { sidecar, credit } = place;
    metrics?.taskStarted(task.service, timer.now() - task.queuedAt);
    lane.ejections.taskStarted(sidecar);
    lane.pace.recordStart(timer.now(), lane.queue.length > 0);
    task.onStarting(sidecar);
    this.track({ task, sidecar, place });
    const oldest = lane.queue.oldestQueuedAt();
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
      traceparent: this.trace(lane, task, { sidecar, credit }),
    });
    this.send(sidecar, { case: 'start', value });
  }

  private trace(lane: Lane, task: QueuedTask, place: Placement): string {
    const { tracer, policy } = this.options;
    if (!tracer) return task.traceparent;
    const peer = this.sidecars.get(place.sidecar);
    const decision = { policy, place, peer, idle: lane.pool.size, queued: lane.queue.length };
    return traceStart(tracer, task, decision);
  }

  private borrow(lane: Lane): void {
    if (lane.asking !== undefined || this.options.policy !== 'credits') return;
    const entry = this.lenderFor(lane);
    if (entry === undefined) return;
    const value = create(BorrowSchema, { service: lane.service, wanted: lane.queue.length });
    if (this.options.sendToEntry(entry, { case: 'borrow', value })) {
      lane.asking = entry;
      this.options.metrics?.borrowAsked(lane.service);
    } else {
      this.entryLoads.remove(entry);
    }
  }

  /** Notes an answer to an ask; an entry without idle credits lends later, as soon as it has one. */
  private noteAnswer(lane: Lane, entry: string, { credits }: Lend): void {
    this.options.metrics?.creditsBorrowed(lane.service, credits.length);
    if (lane.asking === entry) lane.asking = undefined;
    if (credits.length > 0) lane.asked.remove(entry);
    else lane.asked.add(entry, lane.queue.length, this.options.timer.now());
  }

  private heldOf(entry: string, { returned }: Lend, { sidecar, credit }: LentCredit): HeldCredit {
    if (!returned) return { sidecar, credit: credit!, lender: entry };
    const lent = this.lentTo.get(entry) ?? [];
    const at = lent.findIndex(
      (one) =>
        one.sidecar === sidecar &&
        one.credit.slot === credit!.slot &&
        one.credit.generation === credit!.generation,
    );
    return at < 0 ? { sidecar, credit: credit! } : lent.splice(at, 1)[0]!;
  }

  /** Returns borrowed credits to their lenders; a lender that is lost has had them renewed. */
  private giveBack(lane: Lane, credits: readonly HeldCredit[]): void {
    const { service, pool } = lane;
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

  /** Returns the credit of a start that may never have arrived; if it did, the credit is stale. */
  private giveBackOf({ task, sidecar, place }: RunningTask): void {
    if (!place?.credit) return;
    this.giveBack(this.laneOf(task.service), [
      { sidecar, credit: place.credit, lender: place.lender },
    ]);
  }

  /** The entry thought to have most idle credits; else one that will lend as soon as it has one. */
  private lenderFor(lane: Lane): string | undefined {
    const known = this.entryLoads.mostIdle(lane.service);
    if (known !== undefined) return known;
    const open = lane.asked.entries(this.options.timer.now());
    if (open.size >= MOST_OPEN_ASKS) return undefined;
    return this.entryLoads.entries().find((entry) => !open.has(entry));
  }

  private startAgain(task: QueuedTask, because: string): void {
    task.onNotStarted();
    if (!task.isWanted()) return;
    task.requeued = { at: this.options.timer.now(), because };
    const lane = this.laneOf(task.service);
    lane.queue.pushFront(task);
    this.pump(lane);
  }

  private judge({ task, sidecar }: RunningTask, status: TaskStatus): void {
    const failed = status === TaskStatus.FAILED || status === TaskStatus.LOST;
    this.laneOf(task.service).ejections.taskEnded(sidecar, failed, this.options.timer.now());
  }

  private settleDone(task: QueuedTask, done: Done): void {
    if (done.status === TaskStatus.LOST) {
      this.attemptLost(task, done.reason);
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

  private attemptLost(task: QueuedTask, reason: string): void {
    if (task.retryable && task.isWanted() && this.options.takeRetry(task.service)) {
      task.attempt += 1;
      task.requeued = { at: this.options.timer.now(), because: reason };
      this.options.metrics?.taskRetried(task.service);
      const lane = this.laneOf(task.service);
      lane.queue.pushFront(task);
      this.pump(lane);
      return;
    }
    task.onSettled(
      create(TaskResultSchema, { index: task.index, status: TaskStatus.LOST, reason }),
    );
  }

  private track(entry: RunningTask): void {
    this.running.set(keyOf(entry.task), entry);
    const tasks = this.bySidecar.get(entry.sidecar) ?? new Set();
    tasks.add(entry);
    this.bySidecar.set(entry.sidecar, tasks);
    this.countTeam(entry.task, 1);
  }

  private forget(entry: RunningTask): void {
    this.running.delete(keyOf(entry.task));
    this.bySidecar.get(entry.sidecar)?.delete(entry);
    this.countTeam(entry.task, -1);
  }

  private countTeam(task: QueuedTask, change: number): void {
    const { teamsRunning } = this.laneOf(task.service);
    teamsRunning.set(task.team, (teamsRunning.get(task.team) ?? 0) + change);
  }

  private send(sidecar: string, message: PeerMessage): void {
    this.sidecars.get(sidecar)?.link?.send(message);
  }
}

/** Everything of one service. */
interface Lane {
  readonly service: string;
  readonly queue: TeamQueue;
  readonly pool: CreditPool;
  readonly teamsRunning: Map<string, number>;
  readonly pace: StartInterval;
  readonly ejections: OutlierDetector;
  /** The entry that was asked for credits and has not answered. */
  asking: string | undefined;
  /** Entries that were asked, had no credit and will lend the next idle one. */
  readonly asked: PendingBorrows;
  /** Entries that asked when there was no credit here. */
  readonly wants: PendingBorrows;
  /** Tasks placed without a credit. */
  placed: number;
}

/** A task with the sidecar that it was sent to. */
interface RunningTask {
  readonly task: QueuedTask;
  readonly sidecar: string;
  /** Where it was placed, with the credit used; undefined for one that was adopted. */
  readonly place?: Placement;
}

/** How many entries may have an unanswered need of this one noted at a time. */
const MOST_OPEN_ASKS = 3;

/** How many lent credits are remembered for each entry; more than it can hold at once. */
const LENT_KEPT = 16_384;

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
