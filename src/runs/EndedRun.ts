import type { RunOutcome } from '../gen/magnoliakeel/v1/peer_pb';

/** How a run ended, and why, for logs. */
export default interface EndedRun {
  readonly outcome: RunOutcome;
  readonly reason: string;
}
