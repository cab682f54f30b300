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

/** How a call to the stand-in goes wrong; each applies to one call of the kind named. */
interface CallFault {
  readonly call: 'start' | 'stop' | 'hold';
  /** `lost`: carried out, not answered. `dropped`: neither. `late`: not answered, carried out after `lateMs`. */
  readonly how: 'lost' | 'dropped' | 'late';
  readonly lateMs?: number;
}

/** How a task goes: its time, and whether it then fails or takes the backend server with it. */
interface TaskWork {
  readonly ms: number;
  readonly fails: boolean;
  readonly crashes?: boolean;
}

interface LeasedBackendOptions {
  readonly timer: TimerService;
  readonly id?: string;
  /** When its first life started, ms since 1970, if it tells. */
  readonly born?: number;
  readonly service?: string;
  readonly capacity?: Resources;
  readonly labels?: readonly string[];
  /** How a task's work goes: how long it takes and whether it fails. The spec says, unless this does. */
  readonly work?: (run: RunId, spec: string) => TaskWork;
  /** Told when a task has crashed it. */
  readonly crashed?: () => void;
  /** Told of each start that was carried out, and of the end of each run and its reason, also by a crash. */
  readonly ran?: (
    what: 'started' | 'done' | 'failed' | 'lost',
    run: RunId,
    reason?: string,
  ) => void;
}

interface Running {
  readonly run: RunId;
  readonly ms: number;
  readonly startedAt: number;
  readonly end: Subscription;
}

/**
 * A stand-in for one life of a backend server that runs tasks under a lease: fencing tokens, attempt
 * numbers that only rise, ends listed until they are acknowledged, calls that are lost or carried out
 * late. It never refuses for want of room, as the users' do, and notes when it was overfilled.
 */
export default class LeasedBackend implements BackendRunClient {
  /** Every start that was carried out, in order. */
  readonly starts: RunId[] = [];

  /** Most that ran at once. */
  busiest = 0;

  private readonly running = new Map<string, Running>();

  private readonly highest = new Map<string, number>();

  private ends: BackendPollResult['ended'][number][] = [];

  private endCount = 0;

  private token = 0;

  private leaseUntil = 0;

  private lease: Subscription | undefined;

  private readonly faults: CallFault[] = [];

  private readonly waiters = new Set<() => void>();

  /** Refuses starts for this reason, as an unwell backend server does. */
  refusing: BackendRefusal | undefined;

  private fate: 'alive' | 'silent' | 'resetting' | 'gone' | 'replaced' = 'alive';

  /** Calls that came while it reset connections. */
  resets = 0;

  private sequence = 0;

  /** When its life started, by the timer, and as it tells, if it does. */
  private startedAt = 0;

  private born: number | undefined;

  private constructor(private readonly opts: LeasedBackendOptions) {
    this.born = opts.born;
  }

  /** Creates a backend server on which nothing runs. */
  static create(opts: LeasedBackendOptions): LeasedBackend {
    return new LeasedBackend(opts);
  }

  /** Its next heartbeat. */
  report(change: Partial<BackendHeartbeat> = {}): BackendHeartbeat {
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

  /** Names of the tasks that run now. */
  get tasks(): readonly string[] {
    return [...this.running.keys()].sort();
  }

  /** Makes the next call of a kind go wrong. */
  fail(fault: CallFault): void {
    this.faults.push(fault);
  }

  /** From now on it answers nothing, and what runs goes on to the end of its lease. */
  fallSilent(): void {
    this.fate = 'silent';
  }

  /** From now on it takes connections and resets them, and what runs goes on. */
  resetConnections(): void {
    this.fate = 'resetting';
  }

  /** It answers again. */
  speak(): void {
    this.fate = 'alive';
  }

  /** Its process is gone: connections are refused and nothing runs. */
  crash(): void {
    if (this.fate === 'gone') return;
    this.fate = 'gone';
    this.opts.crashed?.();
    this.waiters.forEach((wake) => wake());
    this.killAll();
  }

  /** Another life is at its address: calls for this one are turned away and nothing of it runs. */
  replace(): void {
    this.fate = 'replaced';
    this.killAll();
  }

  /**
   * It starts again under its id: nothing of before is there, and what was under way to it may still arrive. The clock by
   * which it tells its start may have been set back meanwhile, by so many ms.
   */
  restart(setBackMs = 0): void {
    this.killAll();
    this.waiters.forEach((wake) => wake());
    this.startedAt = this.opts.timer.now();
    this.born = (this.opts.born ?? 0) + this.startedAt - setBackMs;
    this.fate = 'alive';
    this.highest.clear();
    this.ends = [];
    this.endCount = 0;
    this.token = 0;
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
      if (!this.passes(token)) return;
      const key = taskKey(run);
      this.highest.set(key, Math.max(this.highest.get(key) ?? 0, run.attempt));
      const running = this.running.get(key);
      if (running?.run.attempt === run.attempt) {
        this.opts.timer.after(STOP_MS, () => this.end(key, running, 'lost', 'stopped'));
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
      if (this.passes(token) && leaseUntil !== undefined) this.renew(leaseUntil);
      this.ends = this.ends.filter(({ number }) => number > seenEnd);
    }).andThen(() => new ResultAsync(this.waitForEnd(waitMs)));
  }

  private async waitForEnd(waitMs: number): Promise<Result<BackendPollResult, BackendRunFailure>> {
    const { born } = this;
    if (waitMs > 0 && this.ends.length === 0) {
      const ended = new AbortController();
      const wake = (): void => ended.abort();
      this.waiters.add(wake);
      await this.opts.timer.sleep(waitMs, ended.signal);
      this.waiters.delete(wake);
    }
    if (this.fate !== 'alive' || this.born !== born) return err(unanswered);
    return ok({
      ...(born === undefined ? {} : { born }),
      running: [...this.running.values()].map(({ run, ms, startedAt }) => ({
        run,
        percent: Math.min(PERCENT, Math.floor(((this.clock() - startedAt) * PERCENT) / ms)),
      })),
      ended: [...this.ends],
    });
  }

  private call<T>(
    kind: CallFault['call'],
    timeoutMs: number,
    carryOut: () => T,
  ): ResultAsync<T, BackendRunFailure> {
    if (this.fate === 'gone') return errAsync({ kind: 'closed', reason: 'connection refused' });
    if (this.fate === 'resetting') {
      this.resets += 1;
      return errAsync({ kind: 'unanswered', reason: 'connection reset' });
    }
    if (this.fate === 'replaced') return errAsync({ kind: 'replaced', reason: 'another life' });
    const at = this.faults.findIndex(({ call }) => call === kind);
    const [fault] = at < 0 ? [] : this.faults.splice(at, 1);
    if (this.fate === 'silent' || fault) {
      if (fault?.how === 'lost') carryOut();
      if (fault?.how === 'late') {
        this.opts.timer.after(fault.lateMs ?? LATE_MS, () => {
          if (this.fate !== 'gone') carryOut();
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
    if (!this.passes(token)) return 'fenced';
    if (this.refusing) return this.refusing;
    const key = taskKey(run);
    if (this.running.get(key)?.run.attempt === run.attempt) return 'started';
    if (run.attempt <= (this.highest.get(key) ?? 0) || this.running.has(key)) return 'spent';
    if (leaseUntil <= this.clock()) return 'late';
    this.renew(leaseUntil);
    this.highest.set(key, run.attempt);
    this.starts.push(run);
    const { ms, fails, crashes } = this.workOf(run, spec);
    const startedAt = this.clock();
    const end = this.opts.timer.after(ms, () => {
      if (crashes) this.crash();
      else this.end(key, running, fails ? 'failed' : 'done', fails ? 'failed' : 'done');
    });
    const running: Running = { run, ms, startedAt, end };
    this.running.set(key, running);
    this.busiest = Math.max(this.busiest, this.running.size);
    this.opts.ran?.('started', run);
    return 'started';
  }

  private workOf(run: RunId, spec: string): TaskWork {
    if (this.opts.work) return this.opts.work(run, spec);
    return { ms: Number(spec) || TASK_MS, fails: false };
  }

  private end(
    key: string,
    running: Running,
    how: 'done' | 'failed' | 'lost',
    reason: string,
  ): void {
    if (this.running.get(key) !== running) return;
    running.end.cancel();
    this.running.delete(key);
    this.opts.ran?.(how, running.run, reason);
    this.endCount += 1;
    this.ends.push({ number: this.endCount, run: running.run, how, reason });
    this.waiters.forEach((wake) => wake());
  }

  private renew(leaseUntil: number): void {
    const until = Math.min(leaseUntil, this.clock() + LONGEST_LEASE_MS);
    this.leaseUntil = Math.max(this.leaseUntil, until);
    this.lease?.cancel();
    this.lease = this.opts.timer.after(this.leaseUntil - this.clock(), () =>
      [...this.running].forEach(([key, running]) => this.end(key, running, 'lost', 'lapsed')),
    );
  }

  private passes(token: number): boolean {
    if (token < this.token) return false;
    this.token = token;
    return true;
  }

  private killAll(): void {
    this.running.forEach(({ run, end }) => {
      end.cancel();
      this.opts.ran?.('lost', run, 'crashed');
    });
    this.running.clear();
    this.lease?.cancel();
  }

  private clock(): number {
    return CLOCK_START_MS + this.opts.timer.now() - this.startedAt;
  }
}

const unanswered: BackendRunFailure = { kind: 'unanswered', reason: 'no answer' };

const PERCENT = 100;

/** Its steady clock counts from some time before its start. */
const CLOCK_START_MS = 50_000;

/** How long a stop takes, ms. */
const STOP_MS = 30;

/** How much later a late call is carried out when the fault does not say, ms. */
const LATE_MS = 2_000;

/** How long a task takes when nothing says, ms. */
const TASK_MS = 100;

const LONGEST_LEASE_MS = 1_000;
