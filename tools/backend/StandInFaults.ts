/** Faults that the backend server stand-in can be told to show. */
export default interface StandInFaults {
  /** Every task fails. */
  readonly failAll: boolean;
  /** Every task takes this many times as long as it asks for. */
  readonly slowFactor: number;
  /** Tasks are started and never answered. */
  readonly hang: boolean;
  /** The connection is closed when half of the task's time has passed. */
  readonly closeMidway: boolean;
  /** Milliseconds before each task begins. */
  readonly delayMs: number;
}
