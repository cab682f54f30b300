import type CountReader from './CountReader';
import type StretchHistograms from './StretchHistograms';

/** Results of one run of a scenario with a policy. */
export default interface RunResult {
  readonly scenario: string;
  readonly policy: string;
  readonly stretches: StretchHistograms;
  readonly ideal: StretchHistograms;
  /** Number of answers by outcome. */
  readonly outcomes: Readonly<Record<string, number>>;
  /** Number of tasks submitted. */
  readonly offered: number;
  /** Number of tasks in completed answers. */
  readonly completed: number;
  /** Share of the slots' time, between the warm-up and the end of the load, that went to tasks of completed answers; 1 is full use. */
  readonly throughput: number;
  /** Number of tasks that were started more than once. */
  readonly doubled: number;
  /** Counters of the daemons at the end of the load. */
  readonly counts: Awaited<ReturnType<CountReader['totals']>>;
  /** Counters of the daemons after the last answer. */
  readonly final: RunResult['counts'];
}
