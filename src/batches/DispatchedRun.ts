import type Batch from './Batch';
import type BatchTask from './BatchTask';
import type DurationRatios from './DurationRatios';

/** A run that an entry has ordered from a sidecar. */
export default interface DispatchedRun {
  readonly number: number;
  readonly batch: Batch;
  readonly task: BatchTask;
  readonly dispatchedAt: number;
  /** What was expected of its time there. */
  readonly durationRatios: DurationRatios;
  isStopping: boolean;
}
