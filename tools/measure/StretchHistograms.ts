import { build, type Histogram } from 'hdr-histogram-js';
import type Arrival from './Arrival';

/** Distributions of stretch (response time / least possible run time), separate for requests and jobs. */
export default class StretchHistograms {
  readonly request = emptyHistogram();

  readonly job = emptyHistogram();

  private constructor() {}

  /** Creates an empty collection. */
  static create(): StretchHistograms {
    return new StretchHistograms();
  }

  /**
   * Adds an answer with its response time in milliseconds. The least possible time of a job is the longer of its
   * longest task and its total work divided by the slots.
   */
  add({ kind, taskRunMs, team }: Arrival, responseMs: number, slots: number): void {
    const sum = taskRunMs.reduce((total, run) => total + run, 0);
    const minimumMs = Math.max(sum / slots, ...taskRunMs);
    const stretch = Math.max(1, Math.round((responseMs / minimumMs) * SCALE));
    if (team !== GREEDY_TEAM) this[kind].recordValue(stretch);
  }

  /** Mean and percentiles of requests or jobs; undefined if there were none. */
  summary(kind: 'request' | 'job'): Summary | undefined {
    const histogram = this[kind];
    if (histogram.totalCount === 0) return undefined;
    const at = (percentile: number) => histogram.getValueAtPercentile(percentile) / SCALE;
    return { mean: histogram.mean / SCALE, p50: at(50), p99: at(99), p999: at(99.9) };
  }
}

/** Summary statistics of stretch. */
interface Summary {
  readonly mean: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
}

/** Histograms hold integers, so stretch is recorded in thousandths. */
const SCALE = 1000;

/** Answers to this team are left out: only its effect on other teams is measured. */
const GREEDY_TEAM = 'greedy';

function emptyHistogram(): Histogram {
  return build({ numberOfSignificantValueDigits: 3, highestTrackableValue: 1e9 });
}
