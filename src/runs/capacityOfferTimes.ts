/**
 * How long an offer of room holds, ms. It lapses at both ends by itself: the entry's part is over first, so that an
 * order on it arrives in time, and nobody has to take it back.
 */
const capacityOfferTimes = {
  /** Kept by the sidecar: a round trip to another zone and a turn of a busy process. */
  heldMs: 8,
  /** Believed in by the entry after it has arrived. */
  usableMs: 4,
} as const;

export default capacityOfferTimes;
