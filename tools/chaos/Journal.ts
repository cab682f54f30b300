import type Disruption from './Disruption';
import type Start from './Start';
import type Work from './Work';

/** Everything that callers and backend servers saw in a run, and what was done to the system. */
export default interface Journal {
  readonly works: Work[];
  readonly starts: Start[];
  readonly disruptions: Disruption[];
  /** Processes that ended without having been told to. */
  readonly crashes: string[];
}
