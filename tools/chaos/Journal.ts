import type Disruption from './Disruption';
import type ReportedStart from './ReportedStart';
import type WorkItem from './WorkItem';

/** What callers and backend servers observed in a run, and the disruptions of the system. */
export default interface Journal {
  readonly workItems: WorkItem[];
  readonly starts: ReportedStart[];
  readonly disruptions: Disruption[];
  /** Descriptions of processes that ended without a signal from the run, or failed to restart. */
  readonly crashes: string[];
}
