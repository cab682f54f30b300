import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type { Heartbeat, Hello } from '../gen/magnoliakeel/v1/peer_pb';
import type KeepAliveOptions from '../link/KeepAliveOptions';
import type Link from '../link/Link';
import type Network from '../link/Network';
import type PeerMessage from '../link/PeerMessage';
import type EntryMetrics from '../observe/EntryMetrics';

/** What the links between entries need from the entry around them. */
export default interface EntryLinksOptions {
  readonly timer: TimerService;
  readonly metrics?: EntryMetrics;
  readonly random: Random;
  readonly network: Pick<Network, 'dial'>;
  readonly self: string;
  readonly hello: () => Hello;
  readonly keepAlive: KeepAliveOptions;
  readonly heartbeat: () => Heartbeat;
  /** Sends what a newly linked process has to know. */
  readonly greet: (link: Link) => void;
  /** Handles a message from an entry. */
  readonly receive: (incarnation: string, message: PeerMessage) => void;
  /** Told of a message that could not be handled; the link goes on with the next. */
  readonly failed: (peer: Hello, message: PeerMessage, error: unknown) => void;
  /** Told when an entry's link has ended. */
  readonly unlinked: (incarnation: string) => void;
  /** Told when an entry's suspicion has changed. */
  readonly onSuspicionChange: () => void;
}
