/**
 * Expected duration of a run on one backend server, relative to a backend server of average speed
 * close to the task's data. A larger ratio is slower; the ratios multiply.
 */
export default interface DurationRatios {
  /** Ratio of the machine. */
  readonly machine: number;
  /** Ratio for being away from the preferred label; 1 at the label, and for tasks without one. */
  readonly distance: number;
}
