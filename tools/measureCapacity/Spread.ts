/** Repeated measurements of one quantity. */
export default interface Spread {
  readonly median: number;
  readonly min: number;
  readonly max: number;
}
