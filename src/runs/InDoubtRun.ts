import type { CrashRole } from '../gen/magnoliakeel/v1/peer_pb';
import type RunState from './RunState';

/** A run whose incarnation has ended while a start of it may still be executed by the next. */
export default interface InDoubtRun {
  readonly state: RunState;
  /** The address of the incarnation that ended. */
  readonly address: string;
  /** How the incarnation ended, for the run's owner. */
  readonly reason: string;
  readonly crash: CrashRole | undefined;
}
