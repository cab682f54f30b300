import type Versioned from '../core/Versioned';
import type Dispatcher from '../dispatch/Dispatcher';
import type { Configuration, View } from '../gen/magnoliakeel/v1/peer_pb';
import type PeerMessage from '../link/PeerMessage';
import type Recovery from '../recovery/Recovery';
import type EntryLinks from './EntryLinks';
import type RosterBroadcaster from './RosterBroadcaster';

/** The parts of an entry that handlers of messages from other entries use. */
export default interface EntryMessageContext {
  readonly views: Versioned<View>;
  readonly configurations: Versioned<Configuration>;
  readonly dispatcher: Dispatcher;
  readonly recovery: Recovery;
  readonly entryLinks: EntryLinks;
  readonly rosterBroadcaster: RosterBroadcaster;
  /** The next heartbeat to another entry. */
  readonly heartbeat: () => PeerMessage;
}
