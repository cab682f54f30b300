/** One value read when metrics are rendered, with its label values in the order of the table. */
export default interface MetricReading {
  readonly labels?: readonly string[];
  readonly value: number;
}
