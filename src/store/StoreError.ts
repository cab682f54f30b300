/** Why a call to the platform's key-value service did not succeed. */
export default interface StoreError {
  /**
   * `unavailable`: no answer; a write may have taken effect all the same.
   * `conflict`: the key's revision is not the one expected; nothing was written.
   * `leaseGone`: the lease named has lapsed; nothing was written.
   */
  readonly kind: 'unavailable' | 'conflict' | 'leaseGone';
  readonly reason: string;
}
