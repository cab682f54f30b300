import type Random from '../../src/core/Random';
import type Arrival from './Arrival';

/** One part of a load: its time span, intensity and mix. */
interface Phase {
  readonly fromMs: number;
  readonly toMs: number;
  /** Offered load as a share of the slots' capacity; 1 keeps all slots busy. */
  readonly load: number;
  /** Share of the tasks that belong to jobs; the others are single requests. */
  readonly jobShare?: number;
  readonly team?: string;
}

/** The system under load, and the time scale of the load. */
interface LoadTarget {
  readonly slots: number;
  readonly entries: number;
  readonly warmUpMs: number;
  /** Factor that lengthens tasks and the time between arrivals. */
  readonly slower: number;
}

/**
 * Generates arrivals from a seed: a Poisson process with tasks of 50 ms to 1 s, a few of
 * 2 to 6 s, and jobs of 1 to 320 tasks.
 */
export default class Workload {
  private readonly arrivals: Arrival[] = [];

  private constructor(
    private readonly random: Random,
    private readonly target: LoadTarget,
  ) {}

  /** Creates a load without arrivals. */
  static create(random: Random, target: LoadTarget): Workload {
    return new Workload(random, target);
  }

  /** Adds the arrivals of a phase. */
  phase({ fromMs, toMs, load, jobShare = 0, team = DEFAULT_TEAM }: Phase): this {
    const tasksPerMs = (load * this.target.slots) / (MEAN_RUN_MS * this.target.slower);
    const arrivalsPerTask = 1 - jobShare + jobShare / MEAN_JOB_TASKS;
    const jobArrivalShare = jobShare / MEAN_JOB_TASKS / arrivalsPerTask;
    let atMs = fromMs;
    for (;;) {
      atMs += -Math.log(1 - this.random.unit()) / (tasksPerMs * arrivalsPerTask);
      if (atMs >= toMs) return this;
      if (this.random.unit() < jobArrivalShare) this.job({ atMs, tasks: this.jobSize(), team });
      else this.add({ atMs, kind: 'request', taskRunMs: [this.run()], team });
    }
  }

  /** Adds one job. */
  job(init: { atMs: number; tasks: number; team?: string; cancelAfterMs?: number }): this {
    const { tasks, team = DEFAULT_TEAM, ...rest } = init;
    this.add({
      ...rest,
      kind: 'job',
      team,
      taskRunMs: Array.from({ length: tasks }, () => this.run()),
    });
    return this;
  }

  /** All arrivals, ordered by time. */
  build(): readonly Arrival[] {
    return [...this.arrivals].sort((a, b) => a.atMs - b.atMs);
  }

  private add(init: Omit<Arrival, 'entry' | 'measured'>): void {
    const { entries, warmUpMs } = this.target;
    const measured = init.atMs >= warmUpMs;
    this.arrivals.push({ ...init, entry: this.random.below(entries), measured });
  }

  private run(): number {
    const { random } = this;
    const { slower } = this.target;
    if (random.unit() < LONG_SHARE) {
      const ms = LONG_MS.min + random.unit() * (LONG_MS.max - LONG_MS.min);
      return Math.round(ms * slower);
    }
    return Math.round(logUniform(random, SHORT_MS) * slower);
  }

  private jobSize(): number {
    return Math.floor(logUniform(this.random, JOB_TASKS));
  }
}

const DEFAULT_TEAM = 'members';
const SHORT_MS = { min: 50, max: 1000 };
const LONG_MS = { min: 2000, max: 6000 };
const LONG_SHARE = 0.02;
const JOB_TASKS = { min: 1, max: 321 };
const MEAN_RUN_MS = 392;
const MEAN_JOB_TASKS = meanOf(JOB_TASKS) - 0.5;

/** A random number between the bounds whose logarithm is uniformly distributed. */
function logUniform(random: Random, { min, max }: { min: number; max: number }): number {
  return min * (max / min) ** random.unit();
}

function meanOf({ min, max }: { min: number; max: number }): number {
  return (max - min) / Math.log(max / min);
}
