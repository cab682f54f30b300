/** Limits and time-outs of batch claims; times in milliseconds. */
const claimLimits = {
  /** Entries that record each claim. A claim needs the consent of a majority, so one of them may be unreachable. */
  registrarCount: 3,
  /** How long a claim that a majority has granted still waits for the other registrars. */
  answerTimeoutMs: 150,
  /** Interval at which the choice of registrars is checked again, and the holder of a batch is asked again. */
  probeIntervalMs: 250,
  /** An entry that has not answered for this long is no registrar: it is paused or isolated, not only slow. */
  unreachableAfterMs: 1_000,
  /** An entry whose link broke stays a registrar for this long, as it may reconnect soon. */
  reconnectGraceMs: 500,
  /** Delay before a claim is retried while the holder's link is opening or closing. */
  retryDelayMs: 50,
  /** How long a holder that other entries are linked to may be unreachable before its batch is given up here. */
  holderTimeoutMs: 500,
  /**
   * How long a batch waits for a majority of registrars before it is refused, since this entry may be isolated. By
   * then sidecars have reported which entries are gone.
   */
  quorumTimeoutMs: 1_500,
  /** Retry delay given to the callers of such a batch. */
  callerRetryAfterMs: 1_000,
  /** How long after the start of the process batches wait for links to the other entries, at most. */
  startupLinksTimeoutMs: 1_000,
  /** Maximum number of claims that an entry records, about 4 MB; the oldest are dropped first. */
  maxRecords: 20_000,
} as const;

export default claimLimits;
