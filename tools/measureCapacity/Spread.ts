/** Median and range of repeated measurements of a quantity. */
export default interface Spread {
  readonly median: number;
  readonly min: number;
  readonly max: number;
}
