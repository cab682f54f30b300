import type Versioned from '../core/Versioned';
import type { InspectRequest, InspectResponse, View } from '../gen/magnoliakeel/v1/peer_pb';
import type Recovery from '../recovery/Recovery';
import type EntryLinks from './EntryLinks';
import type JobTable from './JobTable';
import type Router from './Router';
import type SidecarLinks from './SidecarLinks';
import type RosterBroadcaster from './RosterBroadcaster';

/** The parts of an entry that calls and links of other processes use. */
export default interface PeerFacingEntry {
  readonly incarnation: string;
  readonly views: Versioned<View>;
  readonly jobs: JobTable;
  readonly router: Router;
  readonly recovery: Recovery;
  readonly rosterBroadcaster: RosterBroadcaster;
  readonly entryLinks: EntryLinks;
  readonly sidecarLinks: SidecarLinks;
  inspect(req: InspectRequest): InspectResponse;
}
