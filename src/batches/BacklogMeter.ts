import DecayingRate from '../sharing/DecayingRate';
import type Load from '../sharing/Load';
import type BatchTask from './BatchTask';

/** The ready tasks of a batch, and its urgency level. */
interface WaitingTasks {
  readonly level: number;
  readonly ready: readonly BatchTask[];
}

/**
 * Measures the backlog of one service at this entry: what starts at each urgency level, and what is
 * waiting.
 */
export default class BacklogMeter {
  private readonly startRates = new Map<number, DecayingRate>();

  private constructor() {}

  /** Creates a meter without measurements. */
  static create(): BacklogMeter {
    return new BacklogMeter();
  }

  /** Records the start of tasks at this level. */
  started(tasks: readonly BatchTask[], level: number, now: number): void {
    const rate = this.startRates.get(level) ?? DecayingRate.withTimeConstant(DECAY_MS);
    this.startRates.set(level, rate);
    rate.add(cpuMilliOf(tasks), now);
  }

  /** The load with these batches in the backlog. */
  load(batches: readonly WaitingTasks[], now: number): Load {
    const waiting = new Map<number, number>();
    batches.forEach(({ level, ready }) =>
      waiting.set(level, (waiting.get(level) ?? 0) + cpuMilliOf(ready)),
    );
    const levels = [...new Set([...waiting.keys(), ...this.startRates.keys()])].map((level) => ({
      level,
      waitingMilli: waiting.get(level) ?? 0,
      startingMilli: this.startRates.get(level)?.perSecond(now) ?? 0,
    }));
    return { levels };
  }
}

function cpuMilliOf(tasks: readonly BatchTask[]): number {
  return tasks.reduce((sum, { step }) => sum + step.needs.cpuMilli, 0);
}

/**
 * Time constant by which past starts lose weight, ms: some ten starts count for a kind of request
 * of which some thirty arrive in a second.
 */
const DECAY_MS = 1_000;
