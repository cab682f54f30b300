import type Versioned from '../core/Versioned';
import type { Configuration, View } from '../gen/magnoliakeel/v1/peer_pb';
import type BackendLease from './BackendLease';
import type Credits from './Credits';
import type Evidence from './Evidence';
import type Tasks from './Tasks';

/** What the handlers of messages work with. */
export default interface SidecarParts {
  readonly view: Versioned<View>;
  readonly lease: BackendLease;
  readonly credits: Credits;
  readonly tasks: Tasks;
  readonly evidence: Evidence;
  /** Closes the links to entries that are not members of the newest view. */
  readonly dropStrangers: () => void;
  readonly putInForce: (configuration: Configuration) => void;
}
