import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Network from '../link/Network';
import type Tracer from '../observe/Tracer';
import type BackendClient from './BackendClient';
import type SidecarCounters from './SidecarCounters';

/** What a sidecar is made of. Times are in milliseconds. */
export default interface SidecarOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly network: Network;
  readonly client: BackendClient;
  readonly counters: SidecarCounters;
  /** Traces starts; undefined when nothing is traced. */
  readonly tracer?: Tracer;
  readonly cluster: string;
  readonly instance: string;
  readonly incarnation: string;
  readonly zone: string;
  /** Addresses of entries, "ip:port", from the settings. */
  readonly entries: readonly string[];
  /** Members of the view to be linked to. */
  readonly links: number;
  readonly heartbeat: {
    /** Silence after which a heartbeat is sent. */
    readonly intervalMs: number;
    /** Silence after which an entry is given no credits. */
    readonly suspectMs: number;
    /** Silence after which a link is closed. */
    readonly closeMs: number;
  };
  /** Memory for the evidence of starts. */
  readonly ledgerBytes: number;
  /** By how much clocks may differ. */
  readonly skewMs: number;
  /** How often the backend server renews its announcement. */
  readonly renewMs: number;
  /** How long running tasks are awaited when the sidecar leaves. */
  readonly drainMs: number;
  /** Address of this process's operators' listener, once it listens; it is told to entries. */
  readonly operators?: () => string;
  /** Takes a line for each change of state. */
  readonly log?: (line: string) => void;
}
