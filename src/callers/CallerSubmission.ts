import type { Submission } from '../gen/magnoliakeel/v1/peer_pb';

/** A caller's request in the form that owners accept. */
export default interface CallerSubmission {
  readonly submission: Submission;
  /** Whether the caller can ask for the same thing again; else it runs once, where it arrived. */
  readonly keyed: boolean;
}
