/** Why a call to a peer gave no answer. */
export default interface CallError {
  /**
   * `unreachable`: the request certainly did not arrive.
   * `broken`: the request may have arrived; its answer is lost.
   */
  readonly kind: 'unreachable' | 'broken';
  readonly reason: string;
}
