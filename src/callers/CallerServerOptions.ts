import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type { Answer } from '../gen/magnoliakeel/v1/peer_pb';
import type TlsCredentials from '../link/TlsCredentials';
import type EntrySettings from '../settings/EntrySettings';
import type Manifest from '../settings/Manifest';
import type CallerSubmission from './CallerSubmission';

/** What the caller server needs from its entry. */
export default interface CallerServerOptions {
  readonly limits: EntrySettings['limits'];
  /** Server credentials for TLS; without them callers are served over plain HTTP. */
  readonly tls?: TlsCredentials;
  readonly timer: TimerService;
  /** Source of jitter for the retry delays of refused callers. */
  readonly random: Random;
  /** The active manifest; undefined before the first. */
  readonly manifest: () => Manifest | undefined;
  /** Version of the active manifest; 0 before the first. */
  readonly configurationVersion: () => bigint;
  /** Waits a short time for this version or a newer one; resolves to whether it is active. */
  readonly waitForVersion: (version: bigint) => Promise<boolean>;
  readonly isLeaving: () => boolean;
  /** Submits and resolves to the answer; the signal aborts when the caller no longer waits. */
  readonly submit: (submission: CallerSubmission, callerGone: AbortSignal) => Promise<Answer>;
  /** Called with each error that is a fault of this program. */
  readonly onError: (error: unknown) => void;
}
