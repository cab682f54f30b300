import type Resources from '../room/Resources';
import type { RunEnd } from '../gen/magnoliakeel/v1/peer_pb';
import type RunOwner from './RunOwner';
import type StopRequest from './StopRequest';

/** A task that an entry wants to be started. */
export default interface RunRequest {
  readonly batch: string;
  readonly step: number;
  readonly index: number;
  readonly service: string;
  readonly spec: string;
  readonly needs: Resources;
  readonly estimateMs: number;
  /** The lowest attempt number that may be used. */
  readonly attempt: number;
  /** Maximum number of tasks of the step on the backend server at once; 0 for no limit. */
  readonly mostTogether: number;
  /** A label that the backend server must have; empty for none. */
  readonly label: string;
  /** How often the task was the likeliest cause of a crash; suspects are kept apart from each other. */
  readonly suspicion: number;
  /** The sender's number of this request. */
  readonly number: number;
  /** The entry that requested it; the runs of an owner are stopped together. */
  readonly owner: RunOwner;
  /** Called once, when the run is known to have ended or will never start; with the stop request, if there was one. */
  readonly onEnded: (end: RunEnd, stop?: StopRequest) => void;
}
