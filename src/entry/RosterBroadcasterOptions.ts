import type TimerService from '../core/TimerService';
import type SidecarPeer from '../dispatch/SidecarPeer';
import type PeerMessage from '../link/PeerMessage';
import type Recovery from '../recovery/Recovery';

/** Dependencies of the roster broadcaster. */
export default interface RosterBroadcasterOptions {
  readonly timer: TimerService;
  readonly self: string;
  readonly recovery: Recovery;
  /** Keys of the jobs that had tasks on a sidecar. */
  readonly jobKeysOnSidecar: (sidecar: string) => string[];
  /** The sidecar, if it has an open link to this entry. */
  readonly linkedPeer: (incarnation: string) => SidecarPeer | undefined;
  /** Sends a message to every linked entry. */
  readonly broadcast: (message: PeerMessage) => void;
}
