/** How an entry and a sidecar confirm to each other that both are awake, in milliseconds. */
const pulseLimits = {
  /** How often a sidecar asks while it has runs of the entry; each answer confirms both directions. */
  busyIntervalMs: 200,
  /** How often it asks while it has none, to find a connection that went silent. */
  idleIntervalMs: 400,
  /**
   * How long runs go on without confirmation that their entry is awake. A caller that lost its entry
   * submits again to another after 1,300 ms at the earliest; by then the runs have to be over, and
   * killing them takes some 100 ms.
   */
  ownerSilenceMs: 650,
  /** After this long without a sidecar's pulse an entry gives it no more tasks. */
  suspectMs: 600,
  /** After this long without a sidecar's pulse an entry closes the link. */
  closeMs: 1_500,
  /** How often this process looks whether it was held up. */
  watchIntervalMs: 100,
  /** A gap in this process's own time, or between its two clocks, that may have been a suspension. */
  gapMs: 400,
} as const;

export default pulseLimits;
