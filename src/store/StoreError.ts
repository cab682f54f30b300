/** Why a call to the platform's key-value service failed. */
export default interface StoreError {
  /**
   * `unavailable`: no definite answer; a write may still have taken effect.
   * `conflict`: the key's revision is not the one expected; nothing was written.
   * `leaseGone`: the given lease has expired; nothing was written.
   */
  readonly kind: 'unavailable' | 'conflict' | 'leaseGone';
  readonly reason: string;
}
