import { create } from '@bufbuild/protobuf';
import Wakeup from '../core/Wakeup';
import { RunEndSchema, RunOutcome } from '../gen/magnoliakeel/v1/peer_pb';
import Resources from '../room/Resources';
import AttemptNumbers from './AttemptNumbers';
import BackendClock from './BackendClock';
import BackendHealth from './BackendHealth';
import type BackendHold from './BackendHold';
import type BackendLifeOptions from './BackendLifeOptions';
import type BackendRefusal from './BackendRefusal';
import type BackendReport from './BackendReport';
import type BackendRunFailure from './BackendRunFailure';
import runLimits from './runLimits';
import type RunName from './RunName';
import type RunRequest from './RunRequest';
import type RunState from './RunState';
import taskKey from './taskKey';

/**
 * One life of a backend server, from its first heartbeat to its end. It is the only caller of that
 * backend server, so it alone decides what is started there: a run takes its room before its start
 * is sent and gives it back when its end is certain.
 *
 * An end is certain when the backend server lists it, when a stop was acknowledged and a later look
 * does not show the run, when the backend server is gone, or when every lease ever sent has passed.
 */
export default class BackendLife {
  private readonly runs = new Map<string, RunState>();

  /** Orders that wait for an earlier run of the same task to be over here. */
  private readonly followers = new Map<string, RunRequest>();

  /** Orders that came when there was no room, oldest first: entries decide at the same time. */
  private waiting: RunRequest[] = [];

  private readonly attempts = AttemptNumbers.create();

  private readonly clock: BackendClock;

  private readonly work = Wakeup.create();

  /** Ends are acknowledged up to this number. */
  private seenEnd = 0;

  private acknowledgedEnd = 0;

  /** The latest lease ever sent, on the backend server's clock. */
  private leaseUntil = 0;

  private holdsSent = 0;

  /** For each stop that was acknowledged, the first look that proves whether the run is there. */
  private readonly proofs = new Map<RunState, number>();

  private unanswered = 0;

  private refusedConnections = 0;

  private token: number;

  private state: 'clearing' | 'open' | 'silent' | 'over' = 'clearing';

  private newest: BackendReport;

  /** How well it works, by its runs. */
  readonly health: BackendHealth;

  private constructor(private readonly opts: BackendLifeOptions) {
    this.newest = opts.report;
    this.clock = BackendClock.of(opts.timer, opts.report.clockMs);
    this.token = Math.max(1, Math.floor(opts.report.clockMs));
    this.health = BackendHealth.create(opts.timer);
  }

  /** Takes over a backend server: ends what an earlier sidecar left running, then takes tasks. */
  static begin(opts: BackendLifeOptions): BackendLife {
    const life = new BackendLife(opts);
    life.serve().catch((error: unknown) => life.fail(error));
    return life;
  }

  /** The newest heartbeat. */
  get report(): BackendReport {
    return this.newest;
  }

  /** Whether new tasks are taken now. */
  get isAccepting(): boolean {
    return this.state === 'open' && !this.newest.draining;
  }

  /** Whether nothing of an earlier sidecar is left running here. */
  get isCleared(): boolean {
    return this.state !== 'clearing';
  }

  /** What neither a run nor one that is being stopped takes. */
  get free(): Resources {
    const taken = [...this.runs.values()].reduce(
      (sum, { request }) => sum.plus(request.needs),
      Resources.none,
    );
    return this.newest.capacity.minus(taken);
  }

  /** Runs that are not certainly over. */
  get size(): number {
    return this.runs.size + this.followers.size + this.waiting.length;
  }

  /** Takes a later heartbeat of the same life; one that came late is ignored. */
  hear(report: BackendReport): void {
    if (report.sequence < this.newest.sequence) return;
    const wasDraining = this.newest.draining;
    this.newest = { ...report, draining: wasDraining || report.draining };
    this.clock.hear(report.clockMs);
    if (this.newest.draining === wasDraining) return;
    this.opts.log.info('the backend server is draining: it gets no new tasks', {
      backend: report.id,
      sequence: report.sequence,
      running: this.runs.size,
    });
    this.opts.changed();
  }

  /** The backend server has said that it ends now: nothing new is started. */
  leave(): void {
    this.hear({ ...this.newest, draining: true });
  }

  /** Starts a task, or says why not. The request is told how it ended in either case. */
  start(request: RunRequest): void {
    const refusal = this.refusalOf(request);
    if (refusal === NO_ROOM && this.waiting.length < runLimits.waitingOrders) {
      this.wait(request);
      return;
    }
    if (refusal !== undefined) {
      this.refuse(request, refusal);
      return;
    }
    const key = taskKey(request);
    if (this.runs.has(key)) {
      this.follow(key, request);
      return;
    }
    this.launch(key, request);
  }

  /** Stops the runs of an owner for which the predicate holds. */
  stop(owner: object, matches: (request: RunRequest) => boolean): void {
    [...this.followers].forEach(([key, request]) => {
      if (request.owner !== owner || !matches(request)) return;
      this.followers.delete(key);
      this.refuse(request, STOPPED_FIRST);
    });
    this.waiting
      .filter((request) => request.owner === owner && matches(request))
      .forEach((request) => this.giveUp(request, STOPPED_FIRST));
    [...this.runs.values()].forEach((run) => {
      if (run.request.owner === owner && matches(run.request)) this.stopRun(run);
    });
  }

  /** Whether runs of the owner are not certainly over. */
  hasRunsOf(owner: object): boolean {
    const isOwned = (request: RunRequest): boolean => request.owner === owner;
    return (
      [...this.runs.values()].some(({ request }) => isOwned(request)) ||
      [...this.followers.values()].some(isOwned) ||
      this.waiting.some(isOwned)
    );
  }

  /** Ends this life: the backend server is known to be gone, with everything that ran there. */
  end(reason: string): void {
    if (this.state === 'over') return;
    this.state = 'over';
    this.opts.log.warn('the backend server is gone; all its runs are over', {
      backend: this.newest.id,
      reason,
      running: this.runs.size,
    });
    this.loseAll(reason);
    this.work.wake();
    this.opts.over();
    this.opts.changed();
  }

  private refusalOf(request: RunRequest): string | undefined {
    if (!this.isAccepting) return `the backend server takes no tasks (${this.state})`;
    if (request.service !== this.newest.service) return 'it serves another service';
    if (request.label !== '' && !this.newest.labels.includes(request.label)) {
      return 'it lacks the label';
    }
    if (!this.free.holds(request.needs)) return NO_ROOM;
    if (request.mostTogether > 0 && this.together(request) >= request.mostTogether) {
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
    this.refuse(request, reason);
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

  private together({ batch, step }: RunRequest): number {
    const requests = [...this.runs.values()].map((run) => run.request);
    return requests.filter((each) => each.batch === batch && each.step === step).length;
  }

  private refuse(request: RunRequest, reason: string): void {
    const { number, attempt } = request;
    const outcome = RunOutcome.REFUSED;
    request.ended(create(RunEndSchema, { number, outcome, attempt, reason }));
  }

  /** The same task again from another entry: the earlier run's caller has turned to that one. */
  private follow(key: string, request: RunRequest): void {
    const before = this.followers.get(key);
    if (before) this.refuse(before, 'the same task was asked for again');
    this.followers.set(key, request);
    const earlier = this.runs.get(key);
    if (earlier) this.stopRun(earlier);
  }

  private launch(key: string, request: RunRequest): void {
    const now = this.opts.timer.now();
    const state: RunState = {
      request,
      run: { ...taskOf(request), attempt: this.attempts.take(key, request.attempt) },
      startedAt: now,
      isConfirmed: false,
      confirmedAtLook: 0,
      isStopping: false,
      percent: 0,
    };
    this.runs.set(key, state);
    this.work.wake();
    this.send(key, state).catch((error: unknown) => this.fail(error));
  }

  private async send(key: string, first: RunState): Promise<void> {
    const { backend, log } = this.opts;
    let state = first;
    let isDoubtful = false;
    for (let tries = 0; tries < runLimits.startTries; tries += 1) {
      const res = await backend.start(state.run, state.request.spec, this.renewed(), this.token);
      if (this.runs.get(key) !== state) return;
      if (res.isErr()) {
        if (this.isOver(res.error)) return;
        log.warn('a start was not answered', { ...logged(state), reason: res.error.reason });
        if (state.isStopping) return;
        if (res.error.kind === 'unanswered') isDoubtful = true;
        await this.opts.timer.sleep(runLimits.retryMs);
        continue;
      }
      const answer = res.value;
      this.refusedConnections = 0;
      if (answer === 'started') {
        this.confirm(state);
        return;
      }
      log.warn('the backend server refused a start', { ...logged(state), answer });
      // The stop under way will show how it ends: an earlier start may have been carried out.
      if (state.isStopping) return;
      if (tries > 0 && answer === 'spent') break;
      if (!refusalsToTryAgain[answer]) {
        // An earlier start may still be on its way, so this refusal does not prove that none will run.
        if (isDoubtful) break;
        this.finish(key, state, RunOutcome.REFUSED, answer);
        return;
      }
      if (answer === 'fenced')
        this.token = Math.max(this.token + 1, Math.floor(this.clock.estimate()));
      if (answer === 'spent') {
        state = { ...state, run: this.nextAttempt(key, state) };
        this.runs.set(key, state);
      }
    }
    if (this.runs.get(key) === state) this.stopRun(state);
  }

  private nextAttempt(key: string, { request, run }: RunState): RunName {
    return { ...run, attempt: this.attempts.take(key, request.attempt) };
  }

  private stopRun(state: RunState): void {
    if (state.isStopping) return;
    state.isStopping = true;
    this.orderStop(state).catch((error: unknown) => this.fail(error));
  }

  private async orderStop(state: RunState): Promise<void> {
    const { backend, timer, log } = this.opts;
    while (this.isHere(state)) {
      const res = await backend.stop(state.run, this.token);
      if (res.isOk()) {
        this.proofs.set(state, this.holdsSent + 1);
        this.work.wake();
        return;
      }
      if (this.isOver(res.error)) return;
      log.warn('a stop was not answered', { ...logged(state), reason: res.error.reason });
      await timer.sleep(runLimits.retryMs);
    }
  }

  private isHere(state: RunState): boolean {
    return this.runs.get(taskKey(state.run)) === state;
  }

  /** The one task that renews the lease and hears of ends. */
  private async serve(): Promise<void> {
    await this.clear();
    while (this.state !== 'over') {
      const isIdle = this.runs.size === 0 && this.acknowledgedEnd === this.seenEnd;
      if (isIdle && this.state === 'open') await this.work.wait();
      else await this.look();
    }
  }

  /** Stops what an earlier sidecar started here, until nothing runs. */
  private async clear(): Promise<void> {
    const { backend, timer, log } = this.opts;
    while (this.state === 'clearing') {
      const res = await backend.hold(this.seenEnd, this.token, 0);
      if (res.isOk()) {
        this.hearEnds(res.value);
        const { running } = res.value;
        if (running.length === 0) {
          this.state = 'open';
          log.info('the backend server takes tasks', {
            backend: this.newest.id,
            service: this.newest.service,
            cpuMilli: this.newest.capacity.cpuMilli,
            token: this.token,
          });
          this.opts.changed();
          return;
        }
        log.info('stopping what an earlier process left running', { running: running.length });
        await Promise.all(running.map(({ run }) => backend.stop(run, this.token)));
      } else {
        if (this.isOver(res.error)) return;
        if (res.error.kind === 'refused') this.token = Math.floor(this.clock.estimate());
      }
      await timer.sleep(runLimits.stopCheckMs);
    }
  }

  private async look(): Promise<void> {
    const { backend, timer } = this.opts;
    this.holdsSent += 1;
    const look = this.holdsSent;
    const seen = this.seenEnd;
    const isSilent = this.state === 'silent';
    const waitMs =
      isSilent || this.unanswered > 0 || this.proofs.size > 0 ? 0 : runLimits.holdWaitMs;
    const lease = isSilent ? undefined : this.renewed();
    const res = await backend.hold(seen, this.token, waitMs, lease);
    if (this.state === 'over') return;
    if (res.isErr()) {
      await this.missed(res.error);
      return;
    }
    this.unanswered = 0;
    this.refusedConnections = 0;
    this.acknowledgedEnd = Math.max(this.acknowledgedEnd, seen);
    if (isSilent) this.speakAgain();
    this.health.look(this.runs.values());
    this.hearEnds(res.value);
    this.hearRunning(res.value, look);
    this.opts.changed();
    if (this.proofs.size > 0) await timer.sleep(runLimits.stopCheckMs);
  }

  private async missed(failure: BackendRunFailure): Promise<void> {
    const { log, timer, changed } = this.opts;
    if (this.isOver(failure)) return;
    const { kind, reason } = failure;
    if (kind === 'closed') {
      await timer.sleep(runLimits.retryMs);
      return;
    }
    this.unanswered += 1;
    log.warn('a renewal was not answered', { kind, reason, unanswered: this.unanswered });
    if (this.state === 'open' && this.unanswered >= runLimits.silentAfter) {
      this.state = 'silent';
      log.warn('the backend server is silent: its lease is no longer renewed', {
        backend: this.newest.id,
        running: this.runs.size,
      });
      changed();
    }
    if (this.state !== 'silent') return;
    if (this.clock.atLeast() > this.leaseUntil + runLimits.killMs && this.runs.size > 0) {
      this.loseAll('the lease passed while the backend server was silent');
      changed();
    }
    await timer.sleep(runLimits.silentProbeMs);
  }

  private speakAgain(): void {
    this.state = 'open';
    this.opts.log.info('the backend server answers again', { backend: this.newest.id });
    this.opts.changed();
  }

  private hearEnds({ ended }: BackendHold): void {
    ended.forEach(({ number, run, how, reason }) => {
      if (number <= this.seenEnd) return;
      this.seenEnd = number;
      const key = taskKey(run);
      const state = this.runs.get(key);
      if (state?.run.attempt !== run.attempt) return;
      if (how !== 'lost') this.health.ended(state, how === 'done');
      this.finish(key, state, outcomes[how], reason);
    });
  }

  private hearRunning({ running }: BackendHold, look: number): void {
    const seen = new Set<RunState>();
    running.forEach(({ run, percent }) => {
      const state = this.runs.get(taskKey(run));
      if (state?.run.attempt !== run.attempt) {
        this.stopStranger(run);
        return;
      }
      seen.add(state);
      this.confirm(state);
      this.health.progressed(state, percent - state.percent);
      state.percent = percent;
    });
    [...this.proofs].forEach(([state, provenBy]) => {
      if (look < provenBy || seen.has(state)) return;
      const reason = 'it was stopped and is not there';
      if (this.isHere(state)) this.finish(taskKey(state.run), state, RunOutcome.LOST, reason);
      else this.proofs.delete(state);
    });
    [...this.runs].forEach(([key, state]) => {
      if (!state.isConfirmed || look <= state.confirmedAtLook || seen.has(state)) return;
      this.finish(key, state, RunOutcome.LOST, 'the backend server does not list it any more');
    });
  }

  private confirm(state: RunState): void {
    if (state.isConfirmed) return;
    state.isConfirmed = true;
    state.confirmedAtLook = this.holdsSent;
  }

  /** Something runs there that has no place in the books; whatever started it, it must end. */
  private stopStranger(run: RunName): void {
    this.opts.log.warn('an unknown run is stopped', { ...run });
    this.opts.backend.stop(run, this.token).match(
      () => undefined,
      // It is seen again with the next look, and stopped again.
      () => undefined,
    );
  }

  private finish(key: string, state: RunState, outcome: RunOutcome, reason: string): void {
    this.runs.delete(key);
    this.proofs.delete(state);
    const { request, run } = state;
    const { number } = request;
    request.ended(create(RunEndSchema, { number, outcome, attempt: run.attempt, reason }));
    const next = this.followers.get(key);
    if (next) {
      this.followers.delete(key);
      this.start(next);
    }
    this.startWaiting();
    this.opts.changed();
  }

  private loseAll(reason: string): void {
    [...this.followers.values()].forEach((request) => this.refuse(request, reason));
    this.followers.clear();
    [...this.waiting].forEach((request) => this.giveUp(request, reason));
    [...this.runs].forEach(([key, state]) => this.finish(key, state, RunOutcome.LOST, reason));
  }

  /** Whether the failure shows that this life of the backend server has ended; then it is ended here too. */
  private isOver(failure: BackendRunFailure): boolean {
    if (this.state === 'over') return true;
    if (failure.kind === 'replaced') {
      this.end(failure.reason);
      return true;
    }
    if (failure.kind !== 'closed') return false;
    this.refusedConnections += 1;
    if (this.refusedConnections < CLOSED_IS_GONE) return false;
    this.end(failure.reason);
    return true;
  }

  /** A lease from now, on the backend server's clock. */
  private renewed(): number {
    const until = Math.floor(this.clock.estimate() + runLimits.leaseMs);
    this.leaseUntil = Math.max(this.leaseUntil, until);
    return until;
  }

  private fail(error: unknown): void {
    this.opts.log.warn('serving the backend server failed', { error });
    this.end('an error in this process');
  }
}

const NO_ROOM = 'there is no room';
const STOPPED_FIRST = 'it was stopped before it was started';

/** Connections refused in a row by which nothing listens there any more: one could be a restart's gap. */
const CLOSED_IS_GONE = 2;

const outcomes = {
  done: RunOutcome.DONE,
  failed: RunOutcome.FAILED,
  lost: RunOutcome.LOST,
} as const;

/** Refusals that a second start, with a new number, token or lease, may not meet. */
const refusalsToTryAgain: Readonly<Record<BackendRefusal, boolean>> = {
  fenced: true,
  spent: true,
  late: true,
  full: false,
  unfit: false,
};

function taskOf({ batch, step, index }: RunRequest): Omit<RunName, 'attempt'> {
  return { batch, step, index };
}

function logged({ run, isStopping }: RunState): Readonly<Record<string, unknown>> {
  return { ...run, isStopping };
}
