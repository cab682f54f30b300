/** Disruptions in one simulated run of a removal policy, and their cost. */
export default interface MembershipCosts {
  deaths: number;
  pauses: number;
  /** Removals of entries that were alive. */
  falseRemovals: number;
  /** Unavailable time in milliseconds, weighted by the share of job ids affected. */
  unavailableMs: number;
  /** Longest time for which one entry's job ids were unavailable, in milliseconds. */
  longestMs: number;
  storeCalls: number;
}
