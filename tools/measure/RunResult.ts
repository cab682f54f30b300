import type CountReader from './CountReader';
import type Stretches from './Stretches';

/** What one run of a scenario with a policy gave. */
export default interface RunResult {
  readonly scenario: string;
  readonly policy: string;
  readonly stretches: Stretches;
  readonly ideal: Stretches;
  /** Answers by outcome. */
  readonly outcomes: Readonly<Record<string, number>>;
  /** Tasks offered, and those in completed answers. */
  readonly offered: number;
  readonly completed: number;
  /** Tasks in completed answers for each second between the warm-up and the end of the load, over what the slots could do. */
  readonly throughput: number;
  /** Starts that backend servers saw of tasks that were started before. */
  readonly doubled: number;
  /** Counts at the end of the load. */
  readonly counts: Awaited<ReturnType<CountReader['totals']>>;
  /** Counts once the last answer was there. */
  readonly final: RunResult['counts'];
}
