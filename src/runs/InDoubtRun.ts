import type { CrashRole } from '../gen/magnoliakeel/v1/peer_pb';
import type RunState from './RunState';

/** A run whose life has ended while an order of it may still be carried out by the next. */
export default interface InDoubtRun {
  readonly state: RunState;
  /** Where the life took calls. */
  readonly address: string;
  /** How the life ended, for its owner. */
  readonly reason: string;
  readonly crash: CrashRole | undefined;
}
