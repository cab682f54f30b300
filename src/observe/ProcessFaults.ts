import type { ConsolaInstance } from 'consola/core';
import type TimerService from '../core/TimerService';
import describeError from './describeError';
import type Metrics from './Metrics';

/** How many of each kind of thing a process holds, such as open batches. */
type Holdings = Readonly<Record<string, number>>;

interface ProcessFaultsOptions {
  readonly timer: TimerService;
  readonly log: Pick<ConsolaInstance, 'error'>;
  /** Ends the process at once. */
  readonly end: () => void;
}

/** The errors of a process that reached nobody: each is written with what the process holds, and counted. */
export default class ProcessFaults {
  private readonly counts = new Map<string, number>();

  private readonly startedAt: number;

  private holdings: () => Holdings = () => ({});

  private constructor(private readonly opts: ProcessFaultsOptions) {
    this.startedAt = opts.timer.now();
  }

  /** Creates it for a process that holds nothing yet. */
  static create(opts: ProcessFaultsOptions): ProcessFaults {
    return new ProcessFaults(opts);
  }

  /** From now on the lines tell what the process holds. */
  tell(holdings: () => Holdings): void {
    this.holdings = holdings;
  }

  /** Has the count shown with the metrics of the process. */
  expose(metrics: Metrics): void {
    metrics.read('faults_total', () =>
      [...this.counts].map(([origin, value]) => ({ labels: [origin], value })),
    );
  }

  /** Takes an error, as the process's event 'uncaughtException' tells of it and of its origin. */
  take(error: unknown, origin: string): void {
    const { timer, log, end } = this.opts;
    this.counts.set(origin, (this.counts.get(origin) ?? 0) + 1);
    log.error('an error reached nobody', {
      origin,
      error: describeError(error),
      uptimeMs: Math.round(timer.now() - this.startedAt),
      holds: this.holdings(),
    });
    end();
  }
}
