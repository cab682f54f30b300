import type Batch from './Batch';
import type BatchTask from './BatchTask';

/** A run that was lost because its backend server crashed. */
export default interface CrashedRun {
  /** The sidecar of the backend server. */
  readonly sidecar: string;
  readonly batch: Batch;
  readonly task: BatchTask;
  /** When this entry was notified, by the timer service. */
  readonly at: number;
  /** Whether the task was at no crash before. */
  readonly isFirst: boolean;
}
