import type { ConsolaInstance } from 'consola';
import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Network from '../link/Network';
import type TlsCredentials from '../link/TlsCredentials';
import type EntryMetrics from '../observe/EntryMetrics';
import type Tracer from '../observe/Tracer';
import type EntrySettings from '../settings/EntrySettings';
import type Store from '../store/Store';

/** What an entry is built of. */
export default interface EntryOptions {
  readonly settings: EntrySettings;
  /** Unique for each run of the process. */
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly random: Random;
  readonly network: Network;
  /** The certificate shown to callers; without it they are served in plain text. */
  readonly tls?: TlsCredentials;
  readonly store: Store;
  /** Told of what this entry does. */
  readonly metrics?: EntryMetrics;
  /** Traces requests; undefined when nothing is traced. */
  readonly tracer?: Tracer;
  readonly log: Pick<ConsolaInstance, 'error' | 'info' | 'warn'>;
  /** Address of this process's operators' listener, once it listens; it is told to other processes. */
  readonly operators?: () => string;
}
