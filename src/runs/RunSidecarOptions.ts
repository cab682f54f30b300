import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Network from '../link/Network';
import type BackendHeartbeat from './BackendHeartbeat';
import type BackendRunClient from './BackendRunClient';
import type EventLog from '../observe/EventLog';

/** The dependencies of a sidecar for leased runs. */
export default interface RunSidecarOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly network: Network;
  readonly log: EventLog;
  readonly cluster: string;
  readonly instance: string;
  /** Unique for each start of the process. */
  readonly incarnation: string;
  readonly zone: string;
  /** Initial addresses of entries. */
  readonly seeds: readonly string[];
  /** Looks up the addresses of entries, for when no known one answers; empty when that is not known. */
  readonly findEntries: () => Promise<readonly string[]>;
  /** Creates the client of an incarnation of the backend server. */
  readonly connect: (heartbeat: BackendHeartbeat) => BackendRunClient;
}
