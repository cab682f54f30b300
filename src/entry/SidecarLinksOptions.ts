import type TimerService from '../core/TimerService';
import type SidecarPeer from '../dispatch/SidecarPeer';
import type Versioned from '../core/Versioned';
import type { Configuration, Heartbeat, Hello, View } from '../gen/magnoliakeel/v1/peer_pb';
import type KeepAliveOptions from '../link/KeepAliveOptions';
import type Link from '../link/Link';
import type PeerMessage from '../link/PeerMessage';
import type EntryMetrics from '../observe/EntryMetrics';

/** What the links to sidecars need from the entry around them. */
export default interface SidecarLinksOptions {
  readonly timer: TimerService;
  readonly metrics?: EntryMetrics;
  readonly self: string;
  readonly viewNumber: () => bigint;
  /** How long a sidecar may stay away before it counts as lost. */
  readonly witnessMs: number;
  readonly keepAlive: KeepAliveOptions;
  /** Makes the next heartbeat to a sidecar. */
  readonly heartbeat: (peer: SidecarPeer) => Heartbeat;
  readonly views: Versioned<View>;
  readonly configurations: Versioned<Configuration>;
  /** Sends what a newly linked process has to know. */
  readonly greet: (link: Link) => void;
  /** Told of a message that could not be handled; the link goes on with the next. */
  readonly failed: (peer: Hello, message: PeerMessage, error: unknown) => void;
  /** Told when a sidecar has linked. */
  readonly linked: (peer: SidecarPeer) => void;
  /** Told when a sidecar has ended and its tasks are settled. */
  readonly ended: (peer: SidecarPeer) => void;
}
