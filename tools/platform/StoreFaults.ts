/** Active faults of the store, for all clients or for one. */
export default interface StoreFaults {
  /** No call is answered and nothing takes effect. */
  readonly down?: boolean;
  /** Each call takes effect only after this delay. */
  readonly slowMs?: number;
  /** Writes take effect, but their callers get `unavailable`. */
  readonly answerLost?: boolean;
}
