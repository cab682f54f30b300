/** What sets the time of a run at one place apart from that on a middling backend server near its data. */
export default interface DurationRatios {
  /** Times that work takes at the backend server. */
  readonly machine: number;
  /** Times that it takes for being away from the label that it prefers; 1 there, and where it prefers none. */
  readonly distance: number;
}
