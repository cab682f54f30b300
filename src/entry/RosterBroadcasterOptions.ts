import type TimerService from '../core/TimerService';
import type SidecarPeer from '../dispatch/SidecarPeer';
import type PeerMessage from '../link/PeerMessage';
import type Recovery from '../recovery/Recovery';

/** What the sightings of sidecars need from the entry around them. */
export default interface RosterBroadcasterOptions {
  readonly timer: TimerService;
  readonly self: string;
  readonly recovery: Recovery;
  /** Keys of the jobs that had tasks on a sidecar. */
  readonly jobKeysOnSidecar: (sidecar: string) => string[];
  /** The sidecar with an open link here, if it has one. */
  readonly linkedPeer: (incarnation: string) => SidecarPeer | undefined;
  /** Sends a message to every linked entry. */
  readonly broadcast: (message: PeerMessage) => void;
}
