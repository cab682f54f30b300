import type BatchTask from './BatchTask';
import type DurationRatios from './DurationRatios';
import type SidecarPeer from './SidecarPeer';

/** What is known of the duration ratios. */
interface KnownRatios {
  /** Duration ratios, relative to the mean, of the machines that deviate from it. */
  readonly machineRatios?: ReadonlyMap<SidecarPeer, number>;
  /**
   * Factor by which a task takes longer away from its preferred label; undefined if operators have
   * not set one.
   */
  readonly remoteFactor?: number;
}

/** The expected duration ratios of a task on one backend server. */
export default function durationRatiosOf(
  { step: { preferredLabel } }: BatchTask,
  peer: SidecarPeer,
  { machineRatios, remoteFactor = 1 }: KnownRatios,
): DurationRatios {
  const isRemote = preferredLabel !== '' && !peer.labels.includes(preferredLabel);
  return { machine: machineRatios?.get(peer) ?? 1, distance: isRemote ? remoteFactor : 1 };
}
