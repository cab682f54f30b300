/** Why following keys gave nothing: no answer, or the history asked for is gone and has to be listed anew. */
export default interface WatchError {
  readonly kind: 'unavailable' | 'compacted';
  readonly reason: string;
}
