import type Batch from './Batch';
import type BatchTask from './BatchTask';

/** A run that an entry has ordered from a sidecar. */
export default interface OrderedRun {
  readonly number: number;
  readonly batch: Batch;
  readonly task: BatchTask;
  readonly orderedAt: number;
  isStopping: boolean;
}
