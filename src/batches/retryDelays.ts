/** When refused callers are asked to come back, ms. */
const retryDelays = {
  /** The shortest time: a burst does not pass faster. */
  leastMs: 300,
  /** The longest time after which callers begin to come back in a shortage: it may end any moment. */
  mostMs: 3_000,
  /** After a refusal for want of backend servers: two of their heartbeats. */
  noRoomMs: 3_000,
} as const;

export default retryDelays;
