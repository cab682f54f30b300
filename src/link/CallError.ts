/** Why a call to a peer failed. */
export default interface CallError {
  /**
   * `unreachable`: the request has definitely not arrived.
   * `broken`: the request may have arrived, but its answer is lost.
   */
  readonly kind: 'unreachable' | 'broken';
  readonly reason: string;
}
