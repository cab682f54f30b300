/** What one simulated run of a removal policy cost. */
export default interface MembershipFigures {
  deaths: number;
  pauses: number;
  /** Removals of entries that were alive. */
  falseRemovals: number;
  /** Unavailable time in milliseconds, each moment weighed by the share of job ids it concerned. */
  unavailableMs: number;
  /** The longest time that one entry's job ids were unavailable, in milliseconds. */
  longestMs: number;
  storeCalls: number;
}
