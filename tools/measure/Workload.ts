import type Random from '../../src/core/Random';
import type Arrival from './Arrival';

/** What part of a load is offered when. */
interface Phase {
  readonly fromMs: number;
  readonly toMs: number;
  /** Share of the slots that the tasks keep busy, 1 for all. */
  readonly load: number;
  /** Share of the tasks that come in jobs; the others are single requests. */
  readonly jobShare?: number;
  readonly team?: string;
}

/** Slots of the system that a load is offered to. */
interface Offer {
  readonly slots: number;
  readonly entries: number;
  readonly warmUpMs: number;
  /** Factor by which tasks and the time between arrivals are longer than usual. */
  readonly slower: number;
}

/**
 * Arrivals from a seed: Poisson in time, tasks of 50 ms to 1 s with a few of
 * 2 to 6 s, jobs of 1 to 320 tasks.
 */
export default class Workload {
  private readonly arrivals: Arrival[] = [];

  private constructor(
    private readonly random: Random,
    private readonly offer: Offer,
  ) {}

  /** Creates a load without arrivals. */
  static create(random: Random, offer: Offer): Workload {
    return new Workload(random, offer);
  }

  /** Adds the arrivals of a phase. */
  phase({ fromMs, toMs, load, jobShare = 0, team = DEFAULT_TEAM }: Phase): this {
    const tasksPerMs = (load * this.offer.slots) / (MEAN_RUN_MS * this.offer.slower);
    const perTask = 1 - jobShare + jobShare / MEAN_JOB_TASKS;
    const jobPart = jobShare / MEAN_JOB_TASKS / perTask;
    let atMs = fromMs;
    for (;;) {
      atMs += -Math.log(1 - this.random.unit()) / (tasksPerMs * perTask);
      if (atMs >= toMs) return this;
      if (this.random.unit() < jobPart) this.job({ atMs, tasks: this.jobSize(), team });
      else this.add({ atMs, kind: 'request', runs: [this.run()], team });
    }
  }

  /** Adds one job. */
  job(init: { atMs: number; tasks: number; team?: string; cancelAfterMs?: number }): this {
    const { tasks, team = DEFAULT_TEAM, ...rest } = init;
    this.add({ ...rest, kind: 'job', team, runs: Array.from({ length: tasks }, () => this.run()) });
    return this;
  }

  /** All arrivals, in the order of time. */
  build(): readonly Arrival[] {
    return [...this.arrivals].sort((a, b) => a.atMs - b.atMs);
  }

  private add(init: Omit<Arrival, 'entry' | 'measured'>): void {
    const { entries, warmUpMs } = this.offer;
    const measured = init.atMs >= warmUpMs;
    this.arrivals.push({ ...init, entry: this.random.below(entries), measured });
  }

  private run(): number {
    const { random } = this;
    const { slower } = this.offer;
    if (random.unit() < LONG_SHARE) {
      const ms = LONG_MS.least + random.unit() * (LONG_MS.most - LONG_MS.least);
      return Math.round(ms * slower);
    }
    return Math.round(spread(random, SHORT_MS) * slower);
  }

  private jobSize(): number {
    return Math.floor(spread(this.random, JOB_TASKS));
  }
}

const DEFAULT_TEAM = 'members';
const SHORT_MS = { least: 50, most: 1000 };
const LONG_MS = { least: 2000, most: 6000 };
const LONG_SHARE = 0.02;
const JOB_TASKS = { least: 1, most: 321 };
const MEAN_RUN_MS = 392;
const MEAN_JOB_TASKS = meanOf(JOB_TASKS) - 0.5;

/** A number whose logarithm is spread evenly. */
function spread(random: Random, { least, most }: { least: number; most: number }): number {
  return least * (most / least) ** random.unit();
}

function meanOf({ least, most }: { least: number; most: number }): number {
  return (most - least) / Math.log(most / least);
}
