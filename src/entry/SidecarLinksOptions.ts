import type TimerService from '../core/TimerService';
import type SidecarPeer from '../dispatch/SidecarPeer';
import type Versioned from '../core/Versioned';
import type { Configuration, Heartbeat, Hello, View } from '../gen/magnoliakeel/v1/peer_pb';
import type KeepAliveOptions from '../link/KeepAliveOptions';
import type Link from '../link/Link';
import type PeerMessage from '../link/PeerMessage';
import type EntryMetrics from '../observe/EntryMetrics';

/** Dependencies of the links to sidecars. */
export default interface SidecarLinksOptions {
  readonly timer: TimerService;
  readonly metrics?: EntryMetrics;
  readonly self: string;
  readonly viewNumber: () => bigint;
  /** How long a sidecar may have no link before it counts as lost, in milliseconds. */
  readonly witnessMs: number;
  readonly keepAlive: KeepAliveOptions;
  /** Creates the next heartbeat to a sidecar. */
  readonly heartbeat: (peer: SidecarPeer) => Heartbeat;
  readonly views: Versioned<View>;
  readonly configurations: Versioned<Configuration>;
  /** Sends the current view and configuration to a newly linked process. */
  readonly sendInitialState: (link: Link) => void;
  /** Called with a message that could not be handled; the link continues with the next one. */
  readonly onMessageError: (peer: Hello, message: PeerMessage, error: unknown) => void;
  /** Called when a sidecar has linked. */
  readonly onLinked: (peer: SidecarPeer) => void;
  /** Called when a sidecar has ended and its tasks are settled. */
  readonly onEnded: (peer: SidecarPeer) => void;
}
