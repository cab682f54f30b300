/** Dimensions of a cluster on one machine. */
export default interface ClusterSize {
  readonly entries: number;
  /** Number of backend servers, each with its own sidecar. */
  readonly backends: number;
  /** Slots per backend server: tasks that it runs at the same time. */
  readonly slots: number;
  readonly connections: number;
  readonly zones: number;
}
