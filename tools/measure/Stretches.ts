import { build, type Histogram } from 'hdr-histogram-js';
import type Arrival from './Arrival';

/** How much longer answers took than the work itself, apart for requests and jobs. */
export default class Stretches {
  readonly request = emptyHistogram();

  readonly job = emptyHistogram();

  private constructor() {}

  /** Creates an empty collection. */
  static create(): Stretches {
    return new Stretches();
  }

  /**
   * Adds an answer. The ideal for a job is its longest task, or all its tasks
   * spread over the slots if that is longer.
   */
  add({ kind, runs, team }: Arrival, responseMs: number, slots: number): void {
    const sum = runs.reduce((total, run) => total + run, 0);
    const least = Math.max(sum / slots, ...runs);
    const stretch = Math.max(1, Math.round((responseMs / least) * SCALE));
    if (team !== GREEDY_TEAM) this[kind].recordValue(stretch);
  }

  /** Mean and percentiles of requests or jobs; undefined without any. */
  summary(kind: 'request' | 'job'): Summary | undefined {
    const histogram = this[kind];
    if (histogram.totalCount === 0) return undefined;
    const at = (percentile: number) => histogram.getValueAtPercentile(percentile) / SCALE;
    return { mean: histogram.mean / SCALE, p50: at(50), p99: at(99), p999: at(99.9) };
  }
}

/** Stretch as a table shows it. */
interface Summary {
  readonly mean: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
}

const SCALE = 1000;

/** Its own answers are not measured, only what it does to others. */
const GREEDY_TEAM = 'greedy';

function emptyHistogram(): Histogram {
  return build({ numberOfSignificantValueDigits: 3, highestTrackableValue: 1e9 });
}
