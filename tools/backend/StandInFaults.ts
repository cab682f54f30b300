/** Faults that the backend server stand-in can simulate. */
export default interface StandInFaults {
  /** Every task fails. */
  readonly failAll: boolean;
  /** Factor by which every task runs longer than its input says. */
  readonly slowFactor: number;
  /** Tasks are started and never answered. */
  readonly hang: boolean;
  /** The connection is closed after half of the task's run time. */
  readonly closeMidway: boolean;
  /** Additional delay of each task, in milliseconds. */
  readonly delayMs: number;
}
