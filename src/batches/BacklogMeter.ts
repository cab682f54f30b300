import DecayingRate from '../sharing/DecayingRate';
import type Load from '../sharing/Load';
import type BatchTask from './BatchTask';

/** The tasks of a batch that wait, and its level. */
interface InLine {
  readonly level: number;
  readonly ready: readonly BatchTask[];
}

/** Measures the line of one service at this entry: what starts at each level of urgency, and what waits. */
export default class BacklogMeter {
  private readonly starting = new Map<number, DecayingRate>();

  private constructor() {}

  /** Creates one that has measured nothing. */
  static create(): BacklogMeter {
    return new BacklogMeter();
  }

  /** Tasks of this level were started. */
  started(tasks: readonly BatchTask[], level: number, now: number): void {
    const rate = this.starting.get(level) ?? DecayingRate.withTimeConstant(FADE_MS);
    this.starting.set(level, rate);
    rate.add(milliOf(tasks), now);
  }

  /** The load with these batches in line. */
  load(line: readonly InLine[], now: number): Load {
    const waiting = new Map<number, number>();
    line.forEach(({ level, ready }) =>
      waiting.set(level, (waiting.get(level) ?? 0) + milliOf(ready)),
    );
    const levels = [...new Set([...waiting.keys(), ...this.starting.keys()])].map((level) => ({
      level,
      waitingMilli: waiting.get(level) ?? 0,
      startingMilli: this.starting.get(level)?.perSecond(now) ?? 0,
    }));
    return { levels };
  }
}

function milliOf(tasks: readonly BatchTask[]): number {
  return tasks.reduce((sum, { step }) => sum + step.needs.cpuMilli, 0);
}

/** How fast starts fade, ms: some ten count for a kind of request of which some thirty come in a second. */
const FADE_MS = 1_000;
