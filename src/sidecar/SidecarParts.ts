import type Versioned from '../core/Versioned';
import type { Configuration, View } from '../gen/magnoliakeel/v1/peer_pb';
import type PeerMessage from '../link/PeerMessage';
import type BackendLease from './BackendLease';
import type Credits from './Credits';
import type Evidence from './Evidence';
import type Tasks from './Tasks';

/** What the handlers of messages work with. */
export default interface SidecarParts {
  readonly view: Versioned<View>;
  readonly configurations: Versioned<Configuration>;
  readonly lease: BackendLease;
  readonly credits: Credits;
  readonly tasks: Tasks;
  readonly evidence: Evidence;
  /** Closes the links to entries that are not members of the newest view. */
  readonly dropStrangers: () => void;
  /** The next heartbeat to entries. */
  readonly heartbeat: () => PeerMessage;
  readonly putInForce: (configuration: Configuration) => void;
}
