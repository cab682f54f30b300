import type { ConsolaInstance } from 'consola/core';
import faultLimits from '../core/faultLimits';
import FaultRate from '../core/FaultRate';
import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import describeError from './describeError';
import type Metrics from './Metrics';

/** How many of each kind of thing a process holds, such as open batches. */
type Holdings = Readonly<Record<string, unknown>>;

/** Where the lines go. */
type FaultLog = Pick<ConsolaInstance, 'error' | 'info'>;

interface ProcessFaultsOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly log: FaultLog;
  /** Ends the process at once: it serves nobody yet. */
  readonly end: () => void;
  /** Has the process leave as for a planned stop, with its exit code for faults. */
  readonly leave: () => void;
}

/**
 * The errors of a process that reached nobody. Each is written with what the process holds, and counted,
 * and the process goes on: what it holds does not end with one of them. When they come again and
 * again, it leaves in good order, so that a fresh one takes its place.
 */
export default class ProcessFaults {
  private readonly counts = new Map<string, number>();

  private readonly rate = FaultRate.create();

  private readonly startedAt: number;

  private holdings: (() => Holdings) | undefined;

  /** Whether it pauses before it leaves, or leaves. */
  private isLeaving = false;

  /** Errors that were only counted since the last line. */
  private unwritten = 0;

  private log: FaultLog;

  private constructor(private readonly opts: ProcessFaultsOptions) {
    this.log = opts.log;
    this.startedAt = opts.timer.now();
  }

  /** Creates it for a process that starts, which any error ends. */
  static create(opts: ProcessFaultsOptions): ProcessFaults {
    return new ProcessFaults(opts);
  }

  /** The process serves others: from now on it goes on after an error, and writes to this log if one is given. */
  contain(holdings: () => Holdings, log = this.log): void {
    this.holdings = holdings;
    this.log = log;
  }

  /** Has the count shown with the metrics of the process. */
  expose(metrics: Metrics): void {
    metrics.read('faults_total', () =>
      [...this.counts].map(([origin, value]) => ({ labels: [origin], value })),
    );
  }

  /** Takes an error, as the process's event 'uncaughtException' tells of it and of its origin. */
  take(error: unknown, origin: string): void {
    this.counts.set(origin, (this.counts.get(origin) ?? 0) + 1);
    const now = this.opts.timer.now();
    if (this.rate.take(now) <= faultLimits.lines) this.write(error, origin);
    else this.unwritten += 1;
    if (!this.holdings) this.opts.end();
    else if (!this.isLeaving && this.rate.isTooOften(now)) this.pause();
  }

  private write(error: unknown, origin: string): void {
    const { timer } = this.opts;
    this.log.error('an error reached nobody', {
      origin,
      error: describeError(error),
      uptimeMs: Math.round(timer.now() - this.startedAt),
      holds: this.held(),
      unwritten: this.unwritten === 0 ? undefined : this.unwritten,
    });
    this.unwritten = 0;
  }

  /** What the process holds. The figures are of parts that may be what failed. */
  private held(): Holdings {
    try {
      return this.holdings?.() ?? {};
    } catch (error) {
      return { unknown: describeError(error) };
    }
  }

  /** Other processes may meet the same errors at the same moment: each leaves after a pause of its own. */
  private pause(): void {
    const { timer, random } = this.opts;
    const pauseMs = Math.round(random.unit() * faultLimits.pauseMs);
    this.isLeaving = true;
    this.log.error('errors come again and again: the process leaves after a pause', { pauseMs });
    timer.after(pauseMs, () => {
      if (this.rate.isTooOften(timer.now())) this.opts.leave();
      else this.stay();
    });
  }

  private stay(): void {
    this.isLeaving = false;
    this.log.info('the errors have stopped: the process goes on', {});
  }
}
