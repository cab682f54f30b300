/**
 * Why a list or watch call failed: no answer, or the requested revision is compacted, so that the keys have
 * to be listed again.
 */
export default interface WatchError {
  readonly kind: 'unavailable' | 'compacted';
  readonly reason: string;
}
