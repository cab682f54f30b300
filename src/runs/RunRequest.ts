import type Resources from '../room/Resources';
import type { RunEnd } from '../gen/magnoliakeel/v1/peer_pb';
import type RunOwner from './RunOwner';
import type StopRequest from './StopRequest';

/** A task that an entry wants started. */
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
  /** Most tasks of the step on the backend server at once; 0 for no limit. */
  readonly mostTogether: number;
  /** A label that the backend server must have; empty for none. */
  readonly label: string;
  /** How often the task was the likeliest cause of a crash; those that were once are kept apart. */
  readonly suspicion: number;
  /** The sender's number of this order. */
  readonly number: number;
  /** Whose order it is; runs of an owner are stopped together. */
  readonly owner: RunOwner;
  /** Told once, when the run is certainly over or will certainly never start; with its stop, if one was asked for. */
  readonly onEnded: (end: RunEnd, stop?: StopRequest) => void;
}
