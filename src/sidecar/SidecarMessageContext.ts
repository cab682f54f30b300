import type Versioned from '../core/Versioned';
import type { Configuration, View } from '../gen/magnoliakeel/v1/peer_pb';
import type PeerMessage from '../link/PeerMessage';
import type AnnouncementLease from './AnnouncementLease';
import type CreditAllocator from './CreditAllocator';
import type LedgerResponder from './LedgerResponder';
import type TaskRunner from './TaskRunner';

/** The sidecar's components that message handlers use. */
export default interface SidecarMessageContext {
  readonly view: Versioned<View>;
  readonly configurations: Versioned<Configuration>;
  readonly lease: AnnouncementLease;
  readonly credits: CreditAllocator;
  readonly taskRunner: TaskRunner;
  readonly responder: LedgerResponder;
  /** Closes the links to entries that are not members of the newest view. */
  readonly closeNonMemberLinks: () => void;
  /** Creates the next heartbeat to entries. */
  readonly heartbeat: () => PeerMessage;
  readonly applyConfiguration: (configuration: Configuration) => void;
}
