/** What the backend server stand-in has done since it started. */
export default interface StandInCounts {
  running: number;
  started: number;
  completed: number;
  failed: number;
  /** Tasks refused because all slots were taken. */
  overrun: number;
  /** Tasks whose connection was closed by the caller before their end. */
  aborted: number;
  /** Highest number of tasks running at once. */
  peak: number;
}
