/** How an entry and a sidecar confirm to each other that both are awake, in milliseconds. */
const pulseTimings = {
  /**
   * How often a sidecar asks each entry whether it is awake; each answer confirms both directions, and
   * silence shows a dead connection. All entries are asked in one turn, since each time that a process
   * wakes costs more than a message.
   */
  intervalMs: 350,
  /**
   * How long runs go on without confirmation that their entry is awake. A caller that lost its entry
   * submits again to another after 1,300 ms at the earliest; by then the runs have to be over, and
   * killing them takes some 100 ms. Apart from that it is long: an entry that is only busy may be late
   * by this less an interval before what it has ordered is thrown away.
   */
  ownerSilenceMs: 900,
  /**
   * How old the newest confirmation of an entry may be while a lease on its runs is as long as ever; from then on the
   * lease ends no later. A run that cannot be stopped is so over when callers return, and others beside it
   * have 300 ms left for the stop to be proven.
   */
  prolongMs: 400,
  /**
   * After this long without a word of a sidecar an entry gives it no more tasks: one interval, and what a
   * busy process may be late. Being wrong costs nothing while others have room; each task ordered from a
   * sidecar that is cut off makes its whole batch late.
   */
  suspectMs: 500,
  /** After this long without a sidecar's pulse an entry closes the link. */
  closeMs: 1_500,
  /**
   * How often a process looks whether it was held up. What it was idle before counts as held up too. An entry
   * gives up what it has taken and wakes as often for its lateness; a sidecar only asks.
   */
  watchIntervalMs: { entry: 100, sidecar: 400 },
  /**
   * A gap in this process's own time, or between its two clocks, after which callers may have turned to
   * other entries: they do after 1,300 ms. A busy process may well be late by half a second.
   */
  gapMs: 800,
} as const;

export default pulseTimings;
