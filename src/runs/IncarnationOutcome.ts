import type InDoubtRun from './InDoubtRun';

/** What is known of an incarnation of a backend server that has ended. */
export default interface IncarnationOutcome {
  readonly isCrash: boolean;
  /** Whether the incarnation may still be there, and was only given up here. */
  readonly isAbandoned: boolean;
  /** Reported start time of the incarnation that has answered in its place; undefined when none has. */
  readonly successorBorn: number | undefined;
  /** The highest fencing token that was sent to it. */
  readonly token: number;
  /** Runs that a later incarnation at the same address may still start. */
  readonly inDoubt: readonly InDoubtRun[];
  /** Time after which these have ended even if no next incarnation is cleared, ms. */
  readonly resolvedInMs: number;
}
