/** When errors that reach nobody come again and again, and what a process does then; in milliseconds unless said otherwise. */
const faultLimits = {
  /**
   * Errors within one such slice count once: a link that fails, or a zone whose links all fail, is one
   * event with one error or a hundred. The product's own pulses come once in this time.
   */
  sliceMs: 250,
  /** How far back is looked. */
  windowMs: 10_000,
  /**
   * Slices with errors in the window from which they come again and again. A timer or a link that fails
   * each time gets there within 3 s. A caller that sends what fails gets there never: it comes again
   * after 1,300 ms at the earliest, which is 8 slices of the window.
   */
  slices: 12,
  /**
   * A process leaves after a pause of up to this long, drawn by each for itself: all entries may have got
   * what makes them fail in the same millisecond. One that leaves and starts anew is away for about 2 s.
   */
  pauseMs: 20_000,
  /** Errors of a slice that are written; the others are counted. */
  lines: 10,
} as const;

export default faultLimits;
