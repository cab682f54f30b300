/** What callers' requests may be at most. */
export default interface RequestLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time for a request's header to arrive, ms. */
  readonly headerMs: number;
  /** How long a connection may be idle between requests, ms. */
  readonly idleMs: number;
}
