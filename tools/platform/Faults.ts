/** What is wrong with the store at the moment, for everybody or for one client. */
export default interface Faults {
  /** No call is answered and nothing takes effect. */
  readonly down?: boolean;
  /** Each call takes effect only after this delay. */
  readonly slowMs?: number;
  /** Writes take effect, but their callers get `unavailable`. */
  readonly answerLost?: boolean;
}
