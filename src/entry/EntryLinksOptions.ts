import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type { Heartbeat, Hello } from '../gen/magnoliakeel/v1/peer_pb';
import type KeepAliveOptions from '../link/KeepAliveOptions';
import type Link from '../link/Link';
import type Network from '../link/Network';
import type PeerMessage from '../link/PeerMessage';
import type EntryMetrics from '../observe/EntryMetrics';

/** Dependencies of the links between entries. */
export default interface EntryLinksOptions {
  readonly timer: TimerService;
  readonly metrics?: EntryMetrics;
  readonly random: Random;
  readonly network: Pick<Network, 'dial'>;
  readonly self: string;
  readonly hello: () => Hello;
  readonly keepAlive: KeepAliveOptions;
  readonly heartbeat: () => Heartbeat;
  /** Sends the current view, configuration and sidecar roster to a newly linked entry. */
  readonly sendInitialState: (link: Link) => void;
  /** Handles a message from an entry. */
  readonly onMessage: (incarnation: string, message: PeerMessage) => void;
  /** Called with a message that could not be handled; the link continues with the next one. */
  readonly onMessageError: (peer: Hello, message: PeerMessage, error: unknown) => void;
  /** Called when the link to an entry has ended or the entry is no longer a member. */
  readonly onUnlinked: (incarnation: string) => void;
  /** Called when an entry may have become suspected or unsuspected. */
  readonly onSuspicionChange: () => void;
}
