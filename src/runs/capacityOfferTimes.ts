/**
 * How long an offer of free capacity is valid, ms. It expires at both ends without a message: first at the
 * entry, so that a start request on it arrives in time.
 */
const capacityOfferTimes = {
  /** How long the sidecar reserves it: a round trip to another zone and an event-loop turn of a busy process. */
  heldMs: 8,
  /** How long the entry may use it after it has arrived. */
  usableMs: 4,
} as const;

export default capacityOfferTimes;
