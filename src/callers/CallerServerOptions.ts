import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type { Answer } from '../gen/magnoliakeel/v1/peer_pb';
import type TlsCredentials from '../link/TlsCredentials';
import type EntrySettings from '../settings/EntrySettings';
import type Manifest from '../settings/Manifest';
import type CallerSubmission from './CallerSubmission';

/** What the callers' interface needs from the entry around it. */
export default interface CallerServerOptions {
  readonly limits: EntrySettings['limits'];
  /** The certificate shown to callers; without it they are served in plain text. */
  readonly tls?: TlsCredentials;
  readonly timer: TimerService;
  /** Spreads the times at which refused callers come back. */
  readonly random: Random;
  /** The manifest in force; undefined before the first. */
  readonly manifest: () => Manifest | undefined;
  /** Version of that manifest; 0 before the first. */
  readonly version: () => bigint;
  /** Waits a little for a version or a newer one; says whether it is in force. */
  readonly reached: (version: bigint) => Promise<boolean>;
  readonly isLeaving: () => boolean;
  /** The answer to a submission; the signal tells that nobody waits for it any more. */
  readonly submit: (submission: CallerSubmission, gone: AbortSignal) => Promise<Answer>;
  /** Told of an error that is a fault of this program. */
  readonly failed: (error: unknown) => void;
}
