import { create } from '@bufbuild/protobuf';
import { RunEndSchema, RunOutcome } from '../gen/magnoliakeel/v1/peer_pb';
import Resources from '../room/Resources';
import AnswerTimeouts from './AnswerTimeouts';
import BackendHealth from './BackendHealth';
import BackendLease from './BackendLease';
import type BackendIncarnationOptions from './BackendIncarnationOptions';
import BackendPoller from './BackendPoller';
import BackendLiveness from './BackendLiveness';
import type BackendHeartbeat from './BackendHeartbeat';
import crashRoleOf from './crashRoleOf';
import needsExclusiveBackend from './needsExclusiveBackend';
import ActiveRuns from './ActiveRuns';
import type IncarnationEnd from './IncarnationEnd';
import runLimits from './runLimits';
import RunCommands from './RunCommands';
import type RunRequest from './RunRequest';
import type RunState from './RunState';
import type StopCause from './StopCause';
import taskKey from './taskKey';

/**
 * One life of a backend server, from its first heartbeat to its end. It is the only caller of that
 * backend server, so it alone decides what is started there: a run takes its room before its start
 * is sent and gives it back when its end is certain.
 */
export default class BackendIncarnation {
  /** Orders that wait for an earlier run of the same task to be over here. */
  private readonly followers = new Map<string, RunRequest>();

  /** Orders that came when there was no room, oldest first: entries decide at the same time. */
  private waiting: RunRequest[] = [];

  private readonly presence: BackendLiveness;

  private readonly lease: BackendLease;

  private readonly held: ActiveRuns;

  private readonly orders: RunCommands;

  private readonly looks: BackendPoller;

  private newest: BackendHeartbeat;

  /** Whether it has said that it ends now. */
  private hasLeft = false;

  /** How well it works, by its runs. */
  readonly health: BackendHealth;

  private constructor(private readonly opts: BackendIncarnationOptions) {
    const { timer, report, backend, log, onChange: changed, previousToken: tokenAbove } = opts;
    const presence = BackendLiveness.create(timer, {
      ended: (reason, how) => this.over(reason, how),
      doubtChanged: () => this.doubtChanged(),
    });
    this.presence = presence;
    this.newest = report;
    this.lease = BackendLease.of(timer, report, tokenAbove);
    this.health = BackendHealth.create(timer);
    this.held = ActiveRuns.create({
      over: (key) => this.runOver(key),
      progressed: (state, percent) => this.health.addProgress(state, percent),
    });
    const times = AnswerTimeouts.create();
    const shared = { timer, backend, log, presence, times, lease: this.lease, held: this.held };
    this.orders = RunCommands.create({
      ...shared,
      lookSoon: () => this.looks.pollSoon(),
      fail: (error) => this.fail(error),
    });
    const { health, orders } = this;
    this.looks = BackendPoller.create({ ...shared, health, orders, id: report.id, changed });
  }

  /** Takes over a backend server: ends what an earlier sidecar left running, then takes tasks. */
  static begin(opts: BackendIncarnationOptions): BackendIncarnation {
    const life = new BackendIncarnation(opts);
    life.looks.run().catch((error: unknown) => life.fail(error));
    return life;
  }

  /** The newest heartbeat. */
  get heartbeat(): BackendHeartbeat {
    return this.newest;
  }

  /** Whether new tasks are taken now. */
  get isAccepting(): boolean {
    const { state, isUnresponsive: isDoubted } = this.presence;
    const isOpen = state === 'open' && !isDoubted && !this.newest.draining && !this.hasLeft;
    return isOpen && this.opts.startBlocker() === undefined;
  }

  /** Whether nothing of an earlier sidecar is left running here. */
  get isCleared(): boolean {
    const { state } = this.presence;
    return state === 'open' || state === 'silent';
  }

  /** What neither a run nor one that is being stopped takes. */
  get free(): Resources {
    if (this.held.hasExclusiveRun) return Resources.none;
    return this.newest.capacity.minus(this.held.allocated);
  }

  /** What the owner's runs take. */
  allocatedTo(owner: object): Resources {
    return this.held.allocatedTo(owner);
  }

  /** Runs that are not certainly over. */
  get size(): number {
    return this.held.size + this.followers.size + this.waiting.length;
  }

  /** Takes a later heartbeat of the same life; one that came late is ignored. */
  handleHeartbeat(report: BackendHeartbeat): void {
    if (report.sequence < this.newest.sequence) return;
    const before = this.newest;
    // A backend server that leaves sends no more, so the word that it does was that of an earlier life.
    const isStaying = this.hasLeft && report.born !== undefined && !report.draining;
    if (isStaying) this.hasLeft = false;
    this.newest = { ...report, draining: before.draining || report.draining };
    this.lease.updateClock(report.clockMs);
    const isDraining = this.newest.draining && !before.draining;
    const hasOtherRoom = !report.capacity.equals(before.capacity);
    if (isDraining) this.note('the backend server is draining: it gets no new tasks');
    if (hasOtherRoom) this.note('the room of the backend server has changed');
    if (isDraining || hasOtherRoom || isStaying) this.opts.onChange();
  }

  private note(message: string): void {
    const { id, sequence, capacity } = this.newest;
    this.opts.log.info(message, {
      backend: id,
      sequence,
      cpuMilli: capacity.cpuMilli,
      running: this.held.size,
    });
  }

  /** The backend server has said that it ends now: nothing new is started. */
  handleLeaving(): void {
    if (this.hasLeft) return;
    this.hasLeft = true;
    this.note('the backend server leaves: it gets no new tasks');
    this.opts.onChange();
  }

  /** Starts a task, or says why not. The request is told how it ended in either case. */
  start(request: RunRequest): void {
    const refusal = this.refusalOf(request);
    if (refusal === NO_ROOM && this.waiting.length < runLimits.waitingOrders) {
      this.wait(request);
      return;
    }
    if (refusal !== undefined) {
      refuse(request, refusal);
      return;
    }
    const key = taskKey(request);
    if (this.held.find(key)) this.follow(key, request);
    else this.orders.start(request);
  }

  /** Stops the runs of an owner for which the predicate holds. */
  stop(owner: object, cause: StopCause, matches: (request: RunRequest) => boolean): void {
    const isMeant = (request: RunRequest): boolean => request.owner === owner && matches(request);
    [...this.followers].forEach(([key, request]) => {
      if (!isMeant(request)) return;
      this.followers.delete(key);
      refuse(request, STOPPED_FIRST);
    });
    this.waiting.filter(isMeant).forEach((request) => this.giveUp(request, STOPPED_FIRST));
    [...this.held.all]
      .filter(({ request }) => isMeant(request))
      .forEach((run) => this.orders.stop(run, cause));
  }

  /** Whether runs of the owner are not certainly over. */
  hasRunsOf(owner: object): boolean {
    const held = [...this.held.all].map(({ request }) => request);
    const all = [...held, ...this.followers.values(), ...this.waiting];
    return all.some((request) => request.owner === owner);
  }

  /** Whether tasks of the step of a batch run here. */
  hasRunsOfStep(batch: string, step: number): boolean {
    return this.held.countOfStep({ batch, step }) > 0;
  }

  /** Ends this life: the backend server is known to be gone, with everything that ran there. */
  end(reason: string, how: IncarnationEnd): void {
    this.presence.end(reason, how);
  }

  private over(reason: string, how: IncarnationEnd): void {
    const { backend, log, onEnded: over, onChange: changed } = this.opts;
    const { id, born, draining, address } = this.newest;
    // One that has said that it leaves is gone as planned.
    const isAbandoned = how === 'abandoned';
    const isCrash = !isAbandoned && !draining && !this.hasLeft;
    const role = crashRoleOf(this.held.all, this.opts.hasCrashedRecently());
    const roleOf = isCrash ? role : undefined;
    const running = this.held.size;
    log.warn('the backend server is gone', { backend: id, born, reason, how, isCrash, running });
    const { token } = this.lease;
    // The next life reckons leases by a clock of its own, so its clearing is awaited.
    const mayComeBack = how === 'gone' || how === 'reborn';
    const settledInMs = mayComeBack ? runLimits.nextIncarnationMs : this.lease.msUntilExpired;
    const unsettled = this.held
      .release((run) => backend.mayOutlive(run, how))
      .map((state) => ({ state, address, reason, crash: roleOf?.(state) }));
    over({
      isCrash,
      isAbandoned,
      token,
      successorBorn: backend.successorBorn,
      inDoubt: unsettled,
      resolvedInMs: settledInMs,
    });
    [...this.followers.values()].forEach((request) => refuse(request, reason));
    this.followers.clear();
    [...this.waiting].forEach((request) => this.giveUp(request, reason));
    this.held.finishAllAsLost(reason, roleOf);
    this.looks.pollSoon();
    changed();
  }

  private doubtChanged(): void {
    const { isUnresponsive: isDoubted, silentMs } = this.presence;
    this.opts.log.info('whether the backend server answers has changed', {
      backend: this.newest.id,
      isDoubted,
      silentMs: Math.round(silentMs),
      running: this.held.size,
    });
    this.looks.pollSoon();
    this.opts.onChange();
  }

  private refusalOf(request: RunRequest): string | undefined {
    const obstacle = this.opts.startBlocker();
    if (obstacle !== undefined) return obstacle;
    if (!request.owner.isConfirmed) return UNCONFIRMED;
    if (!this.isAccepting) return `the backend server takes no tasks (${this.presence.state})`;
    if (request.service !== this.newest.service) return 'it serves another service';
    if (request.label !== '' && !this.newest.labels.includes(request.label)) {
      return 'it lacks the label';
    }
    if (request.suspicion > 0 && this.held.hasSuspect)
      return 'another suspect of a crash runs here';
    if (needsExclusiveBackend(request.suspicion) && this.held.size > 0)
      return 'it has to run alone';
    if (!this.free.covers(request.needs)) return NO_ROOM;
    if (request.mostTogether > 0 && this.held.countOfStep(request) >= request.mostTogether) {
      return 'enough tasks of the step are here';
    }
    return undefined;
  }

  /** Another entry's order was faster. The next end is a few milliseconds away on a busy server. */
  private wait(request: RunRequest): void {
    this.waiting.push(request);
    this.opts.timer.after(runLimits.orderWaitMs, () => this.giveUp(request, NO_ROOM));
  }

  private giveUp(request: RunRequest, reason: string): void {
    if (!this.waiting.includes(request)) return;
    this.waiting = this.waiting.filter((other) => other !== request);
    refuse(request, reason);
  }

  /** Starts what waited, now that there may be room. */
  private startWaiting(): void {
    const { waiting } = this;
    this.waiting = [];
    waiting.forEach((request) => {
      if (this.refusalOf(request) === NO_ROOM) this.waiting.push(request);
      else this.start(request);
    });
  }

  /** The same task again from another entry: the earlier run's caller has turned to that one. */
  private follow(key: string, request: RunRequest): void {
    const before = this.followers.get(key);
    if (before) refuse(before, 'the same task was asked for again');
    this.followers.set(key, request);
    const earlier = this.held.find(key);
    if (!earlier) return;
    this.noteFollowed(earlier, request);
    this.orders.stop(earlier, 'ordered_again');
  }

  private noteFollowed({ request, run, startedAt, stop }: RunState, next: RunRequest): void {
    this.opts.log.info('a task is ordered that is still here', {
      request: run.batch,
      step: run.step,
      index: run.index,
      attempt: run.attempt,
      isOfOtherOwner: request.owner !== next.owner,
      ranMs: Math.round(this.opts.timer.now() - startedAt),
      stopCause: stop?.cause,
    });
  }

  private runOver(key: string): void {
    const next = this.followers.get(key);
    if (next) {
      this.followers.delete(key);
      this.start(next);
    }
    this.startWaiting();
    this.opts.onChange();
  }

  private fail(error: unknown): void {
    this.opts.log.warn('serving the backend server failed', { error });
    this.presence.end('an error in this process', 'abandoned');
  }
}

const NO_ROOM = 'there is no room';
const UNCONFIRMED = 'the entry is not confirmed to be awake';
const STOPPED_FIRST = 'it was stopped before it was started';

function refuse(request: RunRequest, reason: string): void {
  const { number, attempt } = request;
  const outcome = RunOutcome.REFUSED;
  request.ended(create(RunEndSchema, { number, outcome, attempt, reason }));
}
