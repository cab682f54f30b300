import type { ConsolaInstance } from 'consola/core';
import uncaughtErrorLimits from '../core/uncaughtErrorLimits';
import ErrorRate from '../core/ErrorRate';
import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import describeError from './describeError';
import type Metrics from './Metrics';

/** Counts of the work that a process has in progress, such as open batches, by name. */
type WorkCounts = Readonly<Record<string, unknown>>;

/** The log that errors are written to. */
type FaultLog = Pick<ConsolaInstance, 'error' | 'info'>;

interface ProcessFaultsOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly log: FaultLog;
  /** Exits at once, for a process that does not serve requests yet. */
  readonly exit: () => void;
  /** Shuts the process down gracefully, as for a planned stop, with the exit code for faults. */
  readonly shutDown: () => void;
}

/**
 * Handles the uncaught errors of a process. Each is logged with the counts of work in progress, and
 * counted, and the process goes on, so that one error does not end all its work. When errors keep
 * occurring, the process shuts down gracefully, so that a new one takes its place.
 */
export default class UncaughtErrorHandler {
  private readonly counts = new Map<string, number>();

  private readonly rate = ErrorRate.create();

  private readonly startedAt: number;

  private workCounts: (() => WorkCounts) | undefined;

  /** Whether a shutdown is scheduled or has begun. */
  private isShuttingDown = false;

  /** Errors that were counted but not logged since the last line. */
  private unloggedErrors = 0;

  private log: FaultLog;

  private constructor(private readonly opts: ProcessFaultsOptions) {
    this.log = opts.log;
    this.startedAt = opts.timer.now();
  }

  /** Creates the handler for a process that is starting: any error ends it before it serves requests. */
  static create(opts: ProcessFaultsOptions): UncaughtErrorHandler {
    return new UncaughtErrorHandler(opts);
  }

  /** Marks the process as serving requests, so that it goes on after errors; a given log replaces the first one. */
  surviveErrors(workCounts: () => WorkCounts, log = this.log): void {
    this.workCounts = workCounts;
    this.log = log;
  }

  /** Registers the count of errors with the metrics of the process. */
  registerMetrics(metrics: Metrics): void {
    metrics.setSource('faults_total', () =>
      [...this.counts].map(([origin, value]) => ({ labels: [origin], value })),
    );
  }

  /** Handles an error with its origin, both as given by the process's event 'uncaughtException'. */
  handleUncaught(error: unknown, origin: string): void {
    this.counts.set(origin, (this.counts.get(origin) ?? 0) + 1);
    const now = this.opts.timer.now();
    if (this.rate.add(now) <= uncaughtErrorLimits.loggedPerSlice) this.logError(error, origin);
    else this.unloggedErrors += 1;
    if (!this.workCounts) this.opts.exit();
    else if (!this.isShuttingDown && this.rate.isPersistent(now)) this.scheduleShutdown();
  }

  private logError(error: unknown, origin: string): void {
    const { timer } = this.opts;
    this.log.error('an error reached nobody', {
      origin,
      error: describeError(error),
      uptimeMs: Math.round(timer.now() - this.startedAt),
      holds: this.readWorkCounts(),
      unwritten: this.unloggedErrors === 0 ? undefined : this.unloggedErrors,
    });
    this.unloggedErrors = 0;
  }

  /** Counts of the work in progress. Reading them may throw, since the parts that supply them may be what failed. */
  private readWorkCounts(): WorkCounts {
    try {
      return this.workCounts?.() ?? {};
    } catch (error) {
      return { unknown: describeError(error) };
    }
  }

  /** Shuts down after a random delay, since other processes may meet the same errors at the same moment. */
  private scheduleShutdown(): void {
    const { timer, random } = this.opts;
    const pauseMs = Math.round(random.unit() * uncaughtErrorLimits.maxShutdownDelayMs);
    this.isShuttingDown = true;
    this.log.error('errors keep occurring: the process shuts down after a random delay', {
      pauseMs,
    });
    timer.after(pauseMs, () => {
      if (this.rate.isPersistent(timer.now())) this.opts.shutDown();
      else this.cancelShutdown();
    });
  }

  private cancelShutdown(): void {
    this.isShuttingDown = false;
    this.log.info('the errors have stopped: the process does not shut down', {});
  }
}
