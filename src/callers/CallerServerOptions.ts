import type { Answer } from '../gen/magnoliakeel/v1/peer_pb';
import type EntrySettings from '../settings/EntrySettings';
import type Manifest from '../settings/Manifest';
import type CallerSubmission from './CallerSubmission';

/** What the callers' interface needs from the entry around it. */
export default interface CallerServerOptions {
  readonly limits: EntrySettings['limits'];
  /** The manifest in force; undefined before the first. */
  readonly manifest: () => Manifest | undefined;
  /** Wall-clock time in milliseconds. */
  readonly wall: () => number;
  readonly isLeaving: () => boolean;
  /** Told of a fault of this process that showed on a request. */
  readonly failed: (error: Error) => void;
  readonly submit: (submission: CallerSubmission, gone: AbortSignal) => Promise<Answer>;
}
