/** Timings of the links between entries, in milliseconds. */
const meshTimings = {
  /** Idle time after which an entry sends a heartbeat over a link. */
  heartbeatMs: 1_000,
  /**
   * A link over which nothing has arrived for this long is closed and dialled again. What was sent over it meanwhile may be
   * lost, so it has to be noticed within some three seconds; a busy entry may be late by more than a second.
   */
  closeAfterMs: 2_250,
  /** The same for an entry of an earlier version, which sends nothing over an idle link but its known entries. */
  closeEarlierVersionAfterMs: 25_000,
  /**
   * Interval of the broadcast of addresses to all peers. An address expires after three intervals without one.
   */
  broadcastIntervalMs: 10_000,
  /** How long newly linked entries are gathered before a broadcast. */
  broadcastDelayMs: 250,
} as const;

export default meshTimings;
