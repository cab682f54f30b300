/** Which process plays which part in a cell. */
export default interface ProcessRoles {
  /** Owns the ids that are watched. */
  readonly owner: string;
  /** The entry that the callers turn to first; it forwards to the owner. */
  readonly forwarder: string;
  /** Owns the ids next, without the owner. */
  readonly other: string;
  /** Runs some of the tasks. */
  readonly sidecar: string;
  readonly secondSidecar: string;
}
