/** Timings with which an entry and a sidecar confirm to each other that both are alive, in milliseconds. */
const pulseTimings = {
  /**
   * How often a sidecar sends a pulse to each entry. Each answer confirms both directions, and a missing
   * one reveals a dead connection. All entries get their pulse in one turn of the event loop, since each
   * wake-up of a process costs more than a message.
   */
  intervalMs: 350,
  /**
   * How long runs continue without confirmation that their entry is alive. A caller that lost its entry
   * resubmits to another after 1,300 ms at the earliest; by then the runs have to have ended, and
   * killing them takes some 100 ms. Apart from that the time is long: an entry that is only busy may lag
   * by this time less one interval before the runs that it has dispatched are discarded.
   */
  ownerTimeoutMs: 900,
  /**
   * Up to this age of the newest confirmation of an entry, the lease on its runs is renewed in full; beyond it the
   * end of the lease is no longer moved. So a run that cannot be stopped has ended when callers resubmit, and other
   * runs on the same backend server have 300 ms left for the stop to be confirmed.
   */
  leaseExtensionLimitMs: 400,
  /**
   * After this long without a message from a sidecar an entry dispatches no more tasks to it: one interval
   * plus the lag of a busy process. A wrong suspicion costs nothing while others have free capacity; each task
   * dispatched to an isolated sidecar delays its whole batch.
   */
  suspectAfterMs: 500,
  /** After this long without a sidecar's pulse an entry closes the link. */
  closeAfterMs: 1_500,
  /**
   * How often a process checks whether it was paused. The idle time before a pause counts as part of it. An entry
   * gives up the batches that it has accepted, and wakes as often to measure its lag anyway; a sidecar only asks
   * its entries.
   */
  pauseCheckIntervalMs: { entry: 100, sidecar: 400 },
  /**
   * A pause of this process, or a difference between its two clocks, after which callers may have turned to
   * other entries: they do after 1,300 ms. A busy process may lag by half a second without a pause.
   */
  pauseThresholdMs: 800,
} as const;

export default pulseTimings;
