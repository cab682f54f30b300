/** Identifies one run of one task at a backend server. */
export default interface RunId {
  readonly batch: string;
  readonly step: number;
  readonly index: number;
  /** Rises with each start of the task at the same backend server, from 1. */
  readonly attempt: number;
}
