import type { Submission } from '../gen/magnoliakeel/v1/peer_pb';

/** A caller's request as a submission for the owner of its id. */
export default interface CallerSubmission {
  readonly submission: Submission;
  /** Whether the caller gave an id, so that it can resubmit; else the request runs once, at the entry it reached. */
  readonly keyed: boolean;
}
