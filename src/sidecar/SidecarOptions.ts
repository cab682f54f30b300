import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Network from '../link/Network';
import type Tracer from '../observe/Tracer';
import type BackendClient from './BackendClient';
import type SidecarCounters from './SidecarCounters';

/** Dependencies and settings of a sidecar. Times are in milliseconds. */
export default interface SidecarOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly network: Network;
  readonly client: BackendClient;
  readonly counters: SidecarCounters;
  /** Traces start requests; undefined when tracing is off. */
  readonly tracer?: Tracer;
  readonly cluster: string;
  readonly instance: string;
  readonly incarnation: string;
  readonly zone: string;
  /** Addresses of entries, "ip:port", from the settings. */
  readonly entries: readonly string[];
  /** Number of members of the view to link to. */
  readonly links: number;
  readonly heartbeat: {
    /** Time without a sent message after which a heartbeat is sent. */
    readonly intervalMs: number;
    /** Time without a received message after which an entry is suspected and issued no credits. */
    readonly suspectMs: number;
    /** Time without a received message after which a link is closed. */
    readonly closeMs: number;
  };
  /** Memory limit of the ledger of started tasks, bytes. */
  readonly ledgerBytes: number;
  /** Upper bound on the difference between the clocks of two machines. */
  readonly skewMs: number;
  /** Interval at which the backend server renews its announcement. */
  readonly renewMs: number;
  /** How long a graceful shutdown waits for running tasks. */
  readonly drainMs: number;
  /** Address of this process's listener for operators, once it listens; reported to entries in the hello message. */
  readonly operatorsAddress?: () => string;
  /** Receives a log line for each change of state. */
  readonly log?: (line: string) => void;
}
