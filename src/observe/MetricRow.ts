/** One row of the metric table. */
export default interface MetricRow {
  /** A summary exports quantiles of the last minutes, and the sum and the count since the start. */
  readonly kind: 'counter' | 'gauge' | 'summary';
  /** Process roles that export the metric. */
  readonly roles: readonly ('entry' | 'sidecar' | 'batchEntry' | 'runSidecar')[];
  readonly unit: string;
  readonly labels: readonly string[];
  readonly help: string;
}
