import type BatchTask from './BatchTask';
import type DurationRatios from './DurationRatios';
import type SidecarPeer from './SidecarPeer';

/** What places are known to differ by. */
interface Differences {
  /** Times the middle that work takes at the backend servers that are unlike the others, if any is. */
  readonly speeds?: ReadonlyMap<SidecarPeer, number>;
  /** Times that a task takes away from the label that it prefers; undefined while operators don't say. */
  readonly remoteFactor?: number;
}

/** What is expected of a task's time at one place, by its backend server and the way to the task's data. */
export default function durationRatiosOf(
  { step: { preferredLabel } }: BatchTask,
  peer: SidecarPeer,
  { speeds, remoteFactor = 1 }: Differences,
): DurationRatios {
  const isAway = preferredLabel !== '' && !peer.labels.includes(preferredLabel);
  return { machine: speeds?.get(peer) ?? 1, distance: isAway ? remoteFactor : 1 };
}
