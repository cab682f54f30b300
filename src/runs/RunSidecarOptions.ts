import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Network from '../link/Network';
import type BackendHeartbeat from './BackendHeartbeat';
import type BackendRunClient from './BackendRunClient';
import type EventLog from '../observe/EventLog';

/** What a sidecar for leased runs is made of. */
export default interface RunSidecarOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly network: Network;
  readonly log: EventLog;
  readonly cluster: string;
  readonly instance: string;
  /** Unique for each run of the process. */
  readonly incarnation: string;
  readonly zone: string;
  /** Addresses of entries to begin with. */
  readonly seeds: readonly string[];
  /** Looks up where entries listen, for when no known one answers; empty when that is not known. */
  readonly findEntries: () => Promise<readonly string[]>;
  /** Makes the calls to a life of the backend server. */
  readonly connect: (report: BackendHeartbeat) => BackendRunClient;
}
