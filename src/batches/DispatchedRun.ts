import type Batch from './Batch';
import type BatchTask from './BatchTask';
import type DurationRatios from './DurationRatios';

/** A run that an entry has dispatched to a sidecar. */
export default interface DispatchedRun {
  readonly number: number;
  readonly batch: Batch;
  readonly task: BatchTask;
  readonly dispatchedAt: number;
  /** The duration ratios expected at the time of dispatch. */
  readonly durationRatios: DurationRatios;
  isStopping: boolean;
}
