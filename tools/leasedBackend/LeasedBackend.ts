import { err, errAsync, ok, okAsync, type Result, ResultAsync } from 'neverthrow';
import type Subscription from '../../src/core/Subscription';
import type TimerService from '../../src/core/TimerService';
import type BackendPollResult from '../../src/runs/BackendPollResult';
import type BackendRefusal from '../../src/runs/BackendRefusal';
import type BackendHeartbeat from '../../src/runs/BackendHeartbeat';
import type BackendRunFailure from '../../src/runs/BackendRunFailure';
import type BackendRunClient from '../../src/runs/BackendRunClient';
import type RunId from '../../src/runs/RunId';
import taskKey from '../../src/runs/taskKey';
import Resources from '../../src/room/Resources';

/** A fault of one call to the simulated backend server. */
interface CallFault {
  readonly call: 'start' | 'stop' | 'hold';
  /** `lost`: carried out, but not answered. `dropped`: neither. `late`: not answered, and carried out after `lateMs`. */
  readonly how: 'lost' | 'dropped' | 'late';
  readonly lateMs?: number;
}

/** Duration of a task, and whether it then fails or crashes the backend server. */
interface TaskResult {
  readonly ms: number;
  readonly fails: boolean;
  readonly crashes?: boolean;
}

interface LeasedBackendOptions {
  readonly timer: TimerService;
  readonly id?: string;
  /** Start time of its first incarnation, ms since 1970; not reported if absent. */
  readonly born?: number;
  readonly service?: string;
  readonly capacity?: Resources;
  readonly labels?: readonly string[];
  /** Decides the duration and the result of a task; by default the spec is the duration, ms. */
  readonly work?: (run: RunId, spec: string) => TaskResult;
  /** Called when the backend server crashes. */
  readonly onCrash?: () => void;
  /** Called on each start that is carried out, and on the end of each run with its reason, including by a crash. */
  readonly onRunChange?: (
    what: 'started' | 'done' | 'failed' | 'lost',
    run: RunId,
    reason?: string,
  ) => void;
}

interface ActiveRun {
  readonly run: RunId;
  readonly ms: number;
  readonly startedAt: number;
  readonly end: Subscription;
}

/**
 * Simulates an incarnation of a backend server that runs tasks under a lease: fencing tokens, increasing
 * attempt numbers, ends listed until they are acknowledged, and calls that are lost or carried out late.
 * Unlike the users' backend servers it never refuses a start for lack of capacity; its maximum number of
 * concurrent runs shows whether it was overloaded.
 */
export default class LeasedBackend implements BackendRunClient {
  /** Every start that was carried out, in order. */
  readonly starts: RunId[] = [];

  /** Maximum number of concurrent runs. */
  maxConcurrentRuns = 0;

  private readonly activeRuns = new Map<string, ActiveRun>();

  private readonly highestAttempts = new Map<string, number>();

  private unacknowledgedEnds: BackendPollResult['ended'][number][] = [];

  private endCount = 0;

  private highestToken = 0;

  private leaseUntil = 0;

  private leaseTimer: Subscription | undefined;

  private readonly faults: CallFault[] = [];

  private readonly waitingPolls = new Set<() => void>();

  /** Starts are refused for this reason if set, as by an unhealthy backend server. */
  refusalReason: BackendRefusal | undefined;

  private state: 'alive' | 'silent' | 'resetting' | 'gone' | 'replaced' = 'alive';

  /** Number of calls that arrived while it reset connections. */
  resetCount = 0;

  private sequence = 0;

  /** Start of the current incarnation, by the timer, ms. */
  private startedAt = 0;

  /** The start time that it reports, ms since 1970; undefined if it reports none. */
  private born: number | undefined;

  private constructor(private readonly opts: LeasedBackendOptions) {
    this.born = opts.born;
  }

  /** Creates a backend server without runs. */
  static create(opts: LeasedBackendOptions): LeasedBackend {
    return new LeasedBackend(opts);
  }

  /** Builds the next heartbeat. */
  nextHeartbeat(change: Partial<BackendHeartbeat> = {}): BackendHeartbeat {
    const { id = 'b1', service = 'booking', labels = [] } = this.opts;
    const { capacity = Resources.of({ cpuMilli: 16_000, memoryMb: 4_096 }) } = this.opts;
    this.sequence += 1;
    const { sequence } = this;
    const clockMs = this.clock();
    const address = '127.0.0.1:1';
    return {
      ...{ id, service, labels, capacity, sequence, clockMs, address },
      ...(this.born === undefined ? {} : { born: this.born }),
      draining: false,
      ...change,
    };
  }

  /** Keys of the running tasks, sorted. */
  get runningTasks(): readonly string[] {
    return [...this.activeRuns.keys()].sort();
  }

  /** Applies a fault to the next call of its kind. */
  injectFault(fault: CallFault): void {
    this.faults.push(fault);
  }

  /** Stops answering calls; runs continue until their lease expires. */
  stopAnswering(): void {
    this.state = 'silent';
  }

  /** Accepts and resets connections from now on; runs continue. */
  resetConnections(): void {
    this.state = 'resetting';
  }

  /** Answers calls again. */
  resumeAnswering(): void {
    this.state = 'alive';
  }

  /** Ends the process: connections are refused and all runs are lost. */
  crash(): void {
    if (this.state === 'gone') return;
    this.state = 'gone';
    this.opts.onCrash?.();
    this.waitingPolls.forEach((wake) => wake());
    this.loseAllRuns();
  }

  /** Simulates another incarnation at its address: calls for this one are rejected and its runs are lost. */
  replace(): void {
    this.state = 'replaced';
    this.loseAllRuns();
  }

  /**
   * Restarts under the same id without any former state; calls that are still in transit may arrive afterwards. The clock
   * of the reported start time is set back by `setBackMs`.
   */
  restart(setBackMs = 0): void {
    this.loseAllRuns();
    this.waitingPolls.forEach((wake) => wake());
    this.startedAt = this.opts.timer.now();
    this.born = (this.opts.born ?? 0) + this.startedAt - setBackMs;
    this.state = 'alive';
    this.highestAttempts.clear();
    this.unacknowledgedEnds = [];
    this.endCount = 0;
    this.highestToken = 0;
    this.leaseUntil = 0;
    this.sequence = 0;
  }

  start(
    run: RunId,
    spec: string,
    leaseUntil: number,
    token: number,
    timeoutMs: number,
  ): ResultAsync<BackendRefusal | 'started', BackendRunFailure> {
    return this.call('start', timeoutMs, () => this.carryOutStart(run, spec, leaseUntil, token));
  }

  stop(run: RunId, token: number, timeoutMs: number): ResultAsync<void, BackendRunFailure> {
    return this.call('stop', timeoutMs, () => {
      if (!this.acceptsToken(token)) return;
      const key = taskKey(run);
      this.highestAttempts.set(key, Math.max(this.highestAttempts.get(key) ?? 0, run.attempt));
      const running = this.activeRuns.get(key);
      if (running?.run.attempt === run.attempt) {
        this.opts.timer.after(STOP_MS, () => this.endRun(key, running, 'lost', 'stopped'));
      }
    });
  }

  poll(
    seenEnd: number,
    token: number,
    waitMs: number,
    timeoutMs: number,
    leaseUntil?: number,
  ): ResultAsync<BackendPollResult, BackendRunFailure> {
    return this.call('hold', waitMs + timeoutMs, () => {
      if (this.acceptsToken(token) && leaseUntil !== undefined) this.renewLease(leaseUntil);
      this.unacknowledgedEnds = this.unacknowledgedEnds.filter(({ number }) => number > seenEnd);
    }).andThen(() => new ResultAsync(this.waitForEnd(waitMs)));
  }

  private async waitForEnd(waitMs: number): Promise<Result<BackendPollResult, BackendRunFailure>> {
    const { born } = this;
    if (waitMs > 0 && this.unacknowledgedEnds.length === 0) {
      const ended = new AbortController();
      const wake = (): void => ended.abort();
      this.waitingPolls.add(wake);
      await this.opts.timer.sleep(waitMs, ended.signal);
      this.waitingPolls.delete(wake);
    }
    if (this.state !== 'alive' || this.born !== born) return err(unanswered);
    return ok({
      ...(born === undefined ? {} : { born }),
      running: [...this.activeRuns.values()].map(({ run, ms, startedAt }) => ({
        run,
        percent: Math.min(PERCENT, Math.floor(((this.clock() - startedAt) * PERCENT) / ms)),
      })),
      ended: [...this.unacknowledgedEnds],
    });
  }

  private call<T>(
    kind: CallFault['call'],
    timeoutMs: number,
    carryOut: () => T,
  ): ResultAsync<T, BackendRunFailure> {
    if (this.state === 'gone') return errAsync({ kind: 'closed', reason: 'connection refused' });
    if (this.state === 'resetting') {
      this.resetCount += 1;
      return errAsync({ kind: 'unanswered', reason: 'connection reset' });
    }
    if (this.state === 'replaced') return errAsync({ kind: 'replaced', reason: 'another life' });
    const at = this.faults.findIndex(({ call }) => call === kind);
    const [fault] = at < 0 ? [] : this.faults.splice(at, 1);
    if (this.state === 'silent' || fault) {
      if (fault?.how === 'lost') carryOut();
      if (fault?.how === 'late') {
        this.opts.timer.after(fault.lateMs ?? LATE_MS, () => {
          if (this.state !== 'gone') carryOut();
        });
      }
      const answer = this.opts.timer.sleep(timeoutMs).then(() => err(unanswered));
      return new ResultAsync<T, BackendRunFailure>(answer);
    }
    return okAsync(carryOut());
  }

  private carryOutStart(
    run: RunId,
    spec: string,
    leaseUntil: number,
    token: number,
  ): BackendRefusal | 'started' {
    if (!this.acceptsToken(token)) return 'fenced';
    if (this.refusalReason) return this.refusalReason;
    const key = taskKey(run);
    if (this.activeRuns.get(key)?.run.attempt === run.attempt) return 'started';
    if (run.attempt <= (this.highestAttempts.get(key) ?? 0) || this.activeRuns.has(key))
      return 'spent';
    if (leaseUntil <= this.clock()) return 'late';
    this.renewLease(leaseUntil);
    this.highestAttempts.set(key, run.attempt);
    this.starts.push(run);
    const { ms, fails, crashes } = this.resultOf(run, spec);
    const startedAt = this.clock();
    const end = this.opts.timer.after(ms, () => {
      if (crashes) this.crash();
      else this.endRun(key, running, fails ? 'failed' : 'done', fails ? 'failed' : 'done');
    });
    const running: ActiveRun = { run, ms, startedAt, end };
    this.activeRuns.set(key, running);
    this.maxConcurrentRuns = Math.max(this.maxConcurrentRuns, this.activeRuns.size);
    this.opts.onRunChange?.('started', run);
    return 'started';
  }

  private resultOf(run: RunId, spec: string): TaskResult {
    if (this.opts.work) return this.opts.work(run, spec);
    return { ms: Number(spec) || TASK_MS, fails: false };
  }

  private endRun(
    key: string,
    running: ActiveRun,
    how: 'done' | 'failed' | 'lost',
    reason: string,
  ): void {
    if (this.activeRuns.get(key) !== running) return;
    running.end.cancel();
    this.activeRuns.delete(key);
    this.opts.onRunChange?.(how, running.run, reason);
    this.endCount += 1;
    this.unacknowledgedEnds.push({ number: this.endCount, run: running.run, how, reason });
    this.waitingPolls.forEach((wake) => wake());
  }

  private renewLease(leaseUntil: number): void {
    const until = Math.min(leaseUntil, this.clock() + MAX_LEASE_MS);
    this.leaseUntil = Math.max(this.leaseUntil, until);
    this.leaseTimer?.cancel();
    this.leaseTimer = this.opts.timer.after(this.leaseUntil - this.clock(), () =>
      [...this.activeRuns].forEach(([key, running]) => this.endRun(key, running, 'lost', 'lapsed')),
    );
  }

  private acceptsToken(token: number): boolean {
    if (token < this.highestToken) return false;
    this.highestToken = token;
    return true;
  }

  private loseAllRuns(): void {
    this.activeRuns.forEach(({ run, end }) => {
      end.cancel();
      this.opts.onRunChange?.('lost', run, 'crashed');
    });
    this.activeRuns.clear();
    this.leaseTimer?.cancel();
  }

  private clock(): number {
    return CLOCK_START_MS + this.opts.timer.now() - this.startedAt;
  }
}

const unanswered: BackendRunFailure = { kind: 'unanswered', reason: 'no answer' };

const PERCENT = 100;

/** Reading of its monotonic clock at its start, ms. */
const CLOCK_START_MS = 50_000;

/** Time from a stop call to the end of the run, ms. */
const STOP_MS = 30;

/** Default delay of a late call, ms. */
const LATE_MS = 2_000;

/** Default duration of a task, ms. */
const TASK_MS = 100;

/** Upper limit of a lease, from its renewal, ms. */
const MAX_LEASE_MS = 1_000;
