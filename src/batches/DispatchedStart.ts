import type BatchTask from './BatchTask';
import type DurationRatios from './DurationRatios';
import type SidecarPeer from './SidecarPeer';

/** The dispatched start of a task, with the free capacity that the decision was based on. */
export default interface DispatchedStart {
  readonly task: BatchTask;
  readonly peer: SidecarPeer;
  /** Free capacity before this start, in thousandths of a core. */
  readonly freeMilli: number;
  /** The duration ratios expected of the run. */
  readonly durationRatios: DurationRatios;
}
