import type { ConsolaInstance } from 'consola';
import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Network from '../link/Network';
import type TlsCredentials from '../link/TlsCredentials';
import type EntryMetrics from '../observe/EntryMetrics';
import type Tracer from '../observe/Tracer';
import type EntrySettings from '../settings/EntrySettings';
import type Store from '../store/Store';

/** Settings and dependencies of an entry. */
export default interface EntryOptions {
  readonly settings: EntrySettings;
  /** Unique for each run of the process. */
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly random: Random;
  readonly network: Network;
  /** The certificate presented to callers; without it they are served in plain text. */
  readonly tls?: TlsCredentials;
  readonly store: Store;
  /** Counts the work of this entry. */
  readonly metrics?: EntryMetrics;
  /** Traces requests; undefined when tracing is off. */
  readonly tracer?: Tracer;
  readonly log: Pick<ConsolaInstance, 'error' | 'info' | 'warn'>;
  /**
   * Returns the address of this process's operator listener once it listens; it is
   * sent to other processes.
   */
  readonly operators?: () => string;
}
