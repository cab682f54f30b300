/** Values of `retryAfterMs` in refusals, ms. */
const retryDelays = {
  /** Lower bound: no burst passes in less time. */
  minMs: 300,
  /** Upper bound for the earliest retry in a shortage, which may end at any moment. */
  maxMs: 3_000,
  /** When no backend server is available: two heartbeats of a backend server. */
  noBackendMs: 3_000,
} as const;

export default retryDelays;
