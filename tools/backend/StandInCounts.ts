/** Task counters of the backend server stand-in since its start. */
export default interface StandInCounts {
  running: number;
  started: number;
  completed: number;
  failed: number;
  /** Tasks refused because all slots were in use. */
  overrun: number;
  /** Tasks whose connection the client closed before the answer. */
  aborted: number;
  /** Highest number of tasks running at the same time. */
  peak: number;
}
