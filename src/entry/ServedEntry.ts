import type Versioned from '../core/Versioned';
import type { InspectRequest, InspectResponse, View } from '../gen/magnoliakeel/v1/peer_pb';
import type Recovery from '../recovery/Recovery';
import type EntryLinks from './EntryLinks';
import type Jobs from './Jobs';
import type Router from './Router';
import type SidecarLinks from './SidecarLinks';
import type Sightings from './Sightings';

/** What other processes reach of an entry. */
export default interface ServedEntry {
  readonly incarnation: string;
  readonly views: Versioned<View>;
  readonly jobs: Jobs;
  readonly router: Router;
  readonly recovery: Recovery;
  readonly sightings: Sightings;
  readonly entryLinks: EntryLinks;
  readonly sidecarLinks: SidecarLinks;
  inspect(req: InspectRequest): InspectResponse;
}
