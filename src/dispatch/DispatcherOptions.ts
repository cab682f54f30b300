import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type PeerMessage from '../link/PeerMessage';
import type EntryMetrics from '../observe/EntryMetrics';
import type Tracer from '../observe/Tracer';
import type ServiceConfig from '../settings/ServiceConfig';
import type PolicyName from './PolicyName';

/** What a dispatcher needs from the entry around it. */
export default interface DispatcherOptions {
  readonly timer: TimerService;
  readonly metrics?: EntryMetrics;
  /** Records spans of tasks; undefined when tracing is off. */
  readonly tracer?: Tracer;
  readonly random: Random;
  /** How a sidecar is chosen for a task. */
  readonly policy: PolicyName;
  /** The incarnation of this entry, sent with each start. */
  readonly owner: string;
  readonly viewNumber: () => bigint;
  /** A team's weight in the queue. */
  readonly weightOf: (team: string) => number;
  /** Maximum number of running tasks of a team across all entries; undefined for no limit. */
  readonly maxRunningOf: (team: string) => number | undefined;
  /** When a service's failing backend servers are ejected; the defaults when not given. */
  readonly ejectionLimitsOf?: (service: string) => ServiceConfig['eject'] | undefined;
  /** Takes one retry from a service's retry budget; false when none is left. */
  readonly takeRetry: (service: string) => boolean;
  /** Sends to another entry; false when there is no link to it. */
  readonly sendToEntry: (incarnation: string, message: PeerMessage) => boolean;
}
