/** How many processes a cluster on one machine has. */
export default interface ClusterSize {
  readonly entries: number;
  /** Sidecars, each with its backend server. */
  readonly backends: number;
  /** Slots of each backend server. */
  readonly slots: number;
  readonly connections: number;
  readonly zones: number;
}
