import type Cluster from '../harness/Cluster';
import type CountReader from './CountReader';
import type Workload from './Workload';

/** A load and the fault injected during it. */
export default interface Scenario {
  readonly description: string;
  /** Deadline of single requests, in milliseconds; none by default. */
  readonly deadlineMs?: number;
  /** Slots of the ideal queue, without those of faulty backend servers; all slots by default. */
  readonly idealSlots?: number;
  /** Adds the arrivals of the given time span, in milliseconds since the start of the load. */
  readonly addLoad: (workload: Workload, fromMs: number, toMs: number) => unknown;
  /** Injects a fault once, at the middle of the load. */
  readonly injectFault?: (cluster: Cluster, counts: CountReader) => Promise<void>;
  /** Runs before the load starts. */
  readonly prepare?: (cluster: Cluster) => Promise<void>;
}
