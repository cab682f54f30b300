/** Limits for uncaught errors that keep occurring, in milliseconds unless noted otherwise. */
const uncaughtErrorLimits = {
  /**
   * Length of a time slice. Errors within one slice count once: a link that fails, or a zone whose links
   * all fail, is one event with one error or a hundred. The product's own pulses have this interval.
   */
  sliceMs: 250,
  /** Length of the window in which slices with errors are counted. */
  windowMs: 10_000,
  /**
   * Number of slices with errors in the window from which errors count as persistent. A timer or a link
   * that fails each time reaches it within 3 s. A caller whose request fails never reaches it, since it
   * retries after 1,300 ms at the earliest, which makes 8 slices in the window.
   */
  persistentSlices: 12,
  /**
   * Upper bound of the random delay before a process shuts down. Each process draws its own, because all
   * entries may receive the cause of the errors in the same millisecond. A restart takes about 2 s.
   */
  maxShutdownDelayMs: 20_000,
  /** Number of errors in a slice that are logged; the others are only counted. */
  loggedPerSlice: 10,
} as const;

export default uncaughtErrorLimits;
