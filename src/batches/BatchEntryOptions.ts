import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Network from '../link/Network';
import type Metrics from '../observe/Metrics';
import type EventLog from '../observe/EventLog';
import type BatchPolicy from './BatchPolicy';
import type StoredCancellations from './StoredCancellations';

/** Options of a batch entry. */
export default interface BatchEntryOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly network: Network;
  readonly log: EventLog;
  readonly metrics?: Metrics;
  readonly cluster: string;
  readonly instance: string;
  /** Unique for each start of the process. */
  readonly incarnation: string;
  readonly zone: string;
  /** Address at which this entry listens for other processes, "ip:port". */
  readonly listen: string;
  /** Addresses of entries to contact first. */
  readonly seeds: readonly string[];
  /** The store in which cancellations are kept; they are kept in memory only by default. */
  readonly store?: Parameters<typeof StoredCancellations.create>[0]['store'];
  /** Its decisions under load; the standard policy by default. */
  readonly policy?: BatchPolicy;
  /**
   * Factor by which a task takes longer away from its preferred label; undefined if operators have
   * not set one.
   */
  readonly remoteFactor?: number;
}
