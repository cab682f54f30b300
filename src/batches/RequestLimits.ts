/** Limits of callers' requests. */
export default interface RequestLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Longest time for a request's header to arrive, ms. */
  readonly headerMs: number;
  /** Longest idle time of a connection between requests, ms. */
  readonly idleMs: number;
}
