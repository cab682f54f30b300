import type BatchTask from './BatchTask';
import type DurationRatios from './DurationRatios';
import type SidecarPeer from './SidecarPeer';

/** A start that was decided, with the room that was believed to be there. */
export default interface DispatchedStart {
  readonly task: BatchTask;
  readonly peer: SidecarPeer;
  /** Free before this start, in thousandths of a core. */
  readonly freeMilli: number;
  /** What was expected of its time there. */
  readonly durationRatios: DurationRatios;
}
