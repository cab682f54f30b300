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
 * One incarnation of a backend server, from its first heartbeat to its end. Nothing else calls that backend
 * server, so it alone decides what is started there: capacity is allocated to a run before its start is sent,
 * and freed when the run is known to have ended.
 */
export default class BackendIncarnation {
  /** Start requests that wait for an earlier run of the same task to end here. */
  private readonly successors = new Map<string, RunRequest>();

  /** Start requests that arrived when capacity was short, oldest first: entries decide independently of each other. */
  private waitingRequests: RunRequest[] = [];

  private readonly liveness: BackendLiveness;

  private readonly lease: BackendLease;

  private readonly activeRuns: ActiveRuns;

  private readonly commands: RunCommands;

  private readonly poller: BackendPoller;

  private latestHeartbeat: BackendHeartbeat;

  /** Whether the backend server has announced that it shuts down now. */
  private isLeaving = false;

  /** How well it works, measured by its runs. */
  readonly health: BackendHealth;

  private constructor(private readonly opts: BackendIncarnationOptions) {
    const { timer, heartbeat, backend, log, onChange, previousToken } = opts;
    const liveness = BackendLiveness.create(timer, {
      onEnded: (reason, how) => this.handleEnd(reason, how),
      onResponsivenessChange: () => this.handleResponsivenessChange(),
    });
    this.liveness = liveness;
    this.latestHeartbeat = heartbeat;
    this.lease = BackendLease.of(timer, heartbeat, previousToken);
    this.health = BackendHealth.create(timer);
    this.activeRuns = ActiveRuns.create({
      onEnded: (key) => this.handleRunEnd(key),
      onProgress: (state, percent) => this.health.addProgress(state, percent),
    });
    const timeouts = AnswerTimeouts.create();
    const shared = {
      timer,
      backend,
      log,
      liveness,
      timeouts,
      lease: this.lease,
      activeRuns: this.activeRuns,
    };
    this.commands = RunCommands.create({
      ...shared,
      pollSoon: () => this.poller.pollSoon(),
      onError: (error) => this.abandon(error),
    });
    const { health, commands } = this;
    this.poller = BackendPoller.create({ ...shared, health, commands, id: heartbeat.id, onChange });
  }

  /** Begins to serve a backend server: stops what an earlier sidecar left running, then accepts tasks. */
  static begin(opts: BackendIncarnationOptions): BackendIncarnation {
    const incarnation = new BackendIncarnation(opts);
    incarnation.poller.run().catch((error: unknown) => incarnation.abandon(error));
    return incarnation;
  }

  /** The latest heartbeat. */
  get heartbeat(): BackendHeartbeat {
    return this.latestHeartbeat;
  }

  /** Whether new tasks are accepted now. */
  get isAccepting(): boolean {
    const { state, isUnresponsive } = this.liveness;
    const isOpen =
      state === 'open' && !isUnresponsive && !this.latestHeartbeat.draining && !this.isLeaving;
    return isOpen && this.opts.startBlocker() === undefined;
  }

  /** Whether nothing of an earlier sidecar is left running here. */
  get isCleared(): boolean {
    const { state } = this.liveness;
    return state === 'open' || state === 'silent';
  }

  /** The capacity not occupied by runs, including those being stopped. */
  get free(): Resources {
    if (this.activeRuns.hasExclusiveRun) return Resources.none;
    return this.latestHeartbeat.capacity.minus(this.activeRuns.allocated);
  }

  /** The capacity that the owner's runs occupy. */
  allocatedTo(owner: object): Resources {
    return this.activeRuns.allocatedTo(owner);
  }

  /** Runs that are not known to have ended, and waiting start requests. */
  get size(): number {
    return this.activeRuns.size + this.successors.size + this.waitingRequests.length;
  }

  /** Applies a later heartbeat of the same incarnation; one that arrives out of order is ignored. */
  handleHeartbeat(heartbeat: BackendHeartbeat): void {
    if (heartbeat.sequence < this.latestHeartbeat.sequence) return;
    const previous = this.latestHeartbeat;
    // A backend server that shuts down sends no more heartbeats, so the announcement came from an earlier incarnation.
    const isBack = this.isLeaving && heartbeat.born !== undefined && !heartbeat.draining;
    if (isBack) this.isLeaving = false;
    this.latestHeartbeat = { ...heartbeat, draining: previous.draining || heartbeat.draining };
    this.lease.updateClock(heartbeat.clockMs);
    const isDraining = this.latestHeartbeat.draining && !previous.draining;
    const hasOtherCapacity = !heartbeat.capacity.equals(previous.capacity);
    if (isDraining) this.logState('the backend server is draining: it gets no new tasks');
    if (hasOtherCapacity) this.logState('the capacity of the backend server has changed');
    if (isDraining || hasOtherCapacity || isBack) this.opts.onChange();
  }

  private logState(message: string): void {
    const { id, sequence, capacity } = this.latestHeartbeat;
    this.opts.log.info(message, {
      backend: id,
      sequence,
      cpuMilli: capacity.cpuMilli,
      running: this.activeRuns.size,
    });
  }

  /** The backend server has announced that it shuts down now: nothing new is started. */
  handleLeaving(): void {
    if (this.isLeaving) return;
    this.isLeaving = true;
    this.logState('the backend server is shutting down: it gets no new tasks');
    this.opts.onChange();
  }

  /** Starts a task or refuses the request. Either way the request's `onEnded` is called with the outcome. */
  start(request: RunRequest): void {
    const refusal = this.refusalOf(request);
    if (refusal === NO_CAPACITY && this.waitingRequests.length < runLimits.maxWaitingRequests) {
      this.waitForCapacity(request);
      return;
    }
    if (refusal !== undefined) {
      refuse(request, refusal);
      return;
    }
    const key = taskKey(request);
    if (this.activeRuns.find(key)) this.replaceRun(key, request);
    else this.commands.start(request);
  }

  /** Stops the owner's runs that match. */
  stop(owner: object, cause: StopCause, matches: (request: RunRequest) => boolean): void {
    const isSelected = (request: RunRequest): boolean =>
      request.owner === owner && matches(request);
    [...this.successors].forEach(([key, request]) => {
      if (!isSelected(request)) return;
      this.successors.delete(key);
      refuse(request, STOPPED_BEFORE_START);
    });
    this.waitingRequests
      .filter(isSelected)
      .forEach((request) => this.refuseWaiting(request, STOPPED_BEFORE_START));
    [...this.activeRuns.all]
      .filter(({ request }) => isSelected(request))
      .forEach((run) => this.commands.stop(run, cause));
  }

  /** Whether the owner has runs that are not known to have ended, or waiting start requests. */
  hasRunsOf(owner: object): boolean {
    const active = [...this.activeRuns.all].map(({ request }) => request);
    const all = [...active, ...this.successors.values(), ...this.waitingRequests];
    return all.some((request) => request.owner === owner);
  }

  /** Whether tasks of the step of a batch run here. */
  hasRunsOfStep(batch: string, step: number): boolean {
    return this.activeRuns.countOfStep({ batch, step }) > 0;
  }

  /** Ends this incarnation: the backend server is known to be gone, with everything that ran there. */
  end(reason: string, how: IncarnationEnd): void {
    this.liveness.end(reason, how);
  }

  private handleEnd(reason: string, how: IncarnationEnd): void {
    const { backend, log, onEnded, onChange } = this.opts;
    const { id, born, draining, address } = this.latestHeartbeat;
    // Ending after an announced shutdown is not a crash.
    const isAbandoned = how === 'abandoned';
    const isCrash = !isAbandoned && !draining && !this.isLeaving;
    const role = crashRoleOf(this.activeRuns.all, this.opts.hasCrashedRecently());
    const roleOf = isCrash ? role : undefined;
    const running = this.activeRuns.size;
    log.warn('the backend server is gone', { backend: id, born, reason, how, isCrash, running });
    const { token } = this.lease;
    // The next incarnation measures leases by a clock of its own, so runs stay in doubt until it has been cleared.
    const mayComeBack = how === 'gone' || how === 'reborn';
    const resolvedInMs = mayComeBack ? runLimits.nextIncarnationMs : this.lease.msUntilExpired;
    const inDoubt = this.activeRuns
      .release((run) => backend.mayOutlive(run, how))
      .map((state) => ({ state, address, reason, crash: roleOf?.(state) }));
    onEnded({
      isCrash,
      isAbandoned,
      token,
      successorBorn: backend.successorBorn,
      inDoubt,
      resolvedInMs,
    });
    [...this.successors.values()].forEach((request) => refuse(request, reason));
    this.successors.clear();
    [...this.waitingRequests].forEach((request) => this.refuseWaiting(request, reason));
    this.activeRuns.finishAllAsLost(reason, roleOf);
    this.poller.pollSoon();
    onChange();
  }

  private handleResponsivenessChange(): void {
    const { isUnresponsive, silentMs } = this.liveness;
    this.opts.log.info('the backend server has become responsive or unresponsive', {
      backend: this.latestHeartbeat.id,
      isDoubted: isUnresponsive,
      silentMs: Math.round(silentMs),
      running: this.activeRuns.size,
    });
    this.poller.pollSoon();
    this.opts.onChange();
  }

  private refusalOf(request: RunRequest): string | undefined {
    const blocker = this.opts.startBlocker();
    if (blocker !== undefined) return blocker;
    if (!request.owner.isConfirmed) return ENTRY_UNCONFIRMED;
    if (!this.isAccepting) return `the backend server takes no tasks (${this.liveness.state})`;
    if (request.service !== this.latestHeartbeat.service) return 'it serves another service';
    if (request.label !== '' && !this.latestHeartbeat.labels.includes(request.label)) {
      return 'it lacks the label';
    }
    if (request.suspicion > 0 && this.activeRuns.hasSuspect)
      return 'another suspect of a crash runs here';
    if (needsExclusiveBackend(request.suspicion) && this.activeRuns.size > 0)
      return 'it has to run alone';
    if (!this.free.covers(request.needs)) return NO_CAPACITY;
    if (request.mostTogether > 0 && this.activeRuns.countOfStep(request) >= request.mostTogether) {
      return 'enough tasks of the step are here';
    }
    return undefined;
  }

  /** Another entry's request was faster. On a busy server the next run ends within a few milliseconds. */
  private waitForCapacity(request: RunRequest): void {
    this.waitingRequests.push(request);
    this.opts.timer.after(runLimits.capacityWaitMs, () => this.refuseWaiting(request, NO_CAPACITY));
  }

  private refuseWaiting(request: RunRequest, reason: string): void {
    if (!this.waitingRequests.includes(request)) return;
    this.waitingRequests = this.waitingRequests.filter((other) => other !== request);
    refuse(request, reason);
  }

  /** Retries the waiting start requests, now that there may be free capacity. */
  private startWaiting(): void {
    const { waitingRequests } = this;
    this.waitingRequests = [];
    waitingRequests.forEach((request) => {
      if (this.refusalOf(request) === NO_CAPACITY) this.waitingRequests.push(request);
      else this.start(request);
    });
  }

  /** The same task was requested again by another entry: the caller of the earlier run has turned to that entry. */
  private replaceRun(key: string, request: RunRequest): void {
    const waiting = this.successors.get(key);
    if (waiting) refuse(waiting, 'the same task was asked for again');
    this.successors.set(key, request);
    const earlier = this.activeRuns.find(key);
    if (!earlier) return;
    this.logReplaced(earlier, request);
    this.commands.stop(earlier, 'ordered_again');
  }

  private logReplaced({ request, run, startedAt, stop }: RunState, next: RunRequest): void {
    this.opts.log.info('a task is started again while an earlier run of it is active', {
      request: run.batch,
      step: run.step,
      index: run.index,
      attempt: run.attempt,
      isOfOtherOwner: request.owner !== next.owner,
      ranMs: Math.round(this.opts.timer.now() - startedAt),
      stopCause: stop?.cause,
    });
  }

  private handleRunEnd(key: string): void {
    const next = this.successors.get(key);
    if (next) {
      this.successors.delete(key);
      this.start(next);
    }
    this.startWaiting();
    this.opts.onChange();
  }

  private abandon(error: unknown): void {
    this.opts.log.warn('serving the backend server failed', { error });
    this.liveness.end('an error in this process', 'abandoned');
  }
}

const NO_CAPACITY = 'there is no room';
const ENTRY_UNCONFIRMED = 'the entry is not confirmed to be awake';
const STOPPED_BEFORE_START = 'it was stopped before it was started';

function refuse(request: RunRequest, reason: string): void {
  const { number, attempt } = request;
  const outcome = RunOutcome.REFUSED;
  request.onEnded(create(RunEndSchema, { number, outcome, attempt, reason }));
}
