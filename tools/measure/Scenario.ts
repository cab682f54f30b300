import type Cluster from '../harness/Cluster';
import type CountReader from './CountReader';
import type Workload from './Workload';

/** A load and what goes wrong meanwhile. */
export default interface Scenario {
  readonly about: string;
  /** How long callers of single requests wait at most; none by default. */
  readonly deadlineMs?: number;
  /** Slots of the ideal queue when it differs: backend servers with a fault are left out. */
  readonly idealSlots?: number;
  /** Adds the arrivals between the two times. */
  readonly load: (workload: Workload, fromMs: number, toMs: number) => unknown;
  /** Done once, at the middle of the load. */
  readonly fault?: (cluster: Cluster, counts: CountReader) => Promise<void>;
  /** Done before the load. */
  readonly prepare?: (cluster: Cluster) => Promise<void>;
}
