import type InDoubtRun from './InDoubtRun';

/** What is left of a life of a backend server that has ended. */
export default interface IncarnationOutcome {
  readonly isCrash: boolean;
  /** Whether the life may still be there, and was only given up here. */
  readonly isAbandoned: boolean;
  /** When the life that has answered in its place started, as that tells; undefined when none has. */
  readonly successorBorn: number | undefined;
  /** The highest fencing token that was sent there. */
  readonly token: number;
  /** Runs that a later life at the same address may still start. */
  readonly inDoubt: readonly InDoubtRun[];
  /** Until these are over also if no next life is cleared, ms. */
  readonly resolvedInMs: number;
}
