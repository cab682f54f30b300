/** The role of each process in a cell of the fault matrix. */
export default interface ProcessRoles {
  /** Owns the ids under test. */
  readonly owner: string;
  /** The entry that callers connect to first; it forwards to the owner. */
  readonly forwarder: string;
  /** Owns the ids once the owner is gone. */
  readonly other: string;
  /** Runs some of the tasks. */
  readonly sidecar: string;
  readonly secondSidecar: string;
}
