/** One row of the table of metrics. */
export default interface MetricRow {
  /** A summary shows quantiles of the last minutes, and the sum and the count since the start. */
  readonly kind: 'counter' | 'gauge' | 'summary';
  /** The roles of process that show it. */
  readonly roles: readonly ('entry' | 'sidecar' | 'batchEntry' | 'runSidecar')[];
  readonly unit: string;
  readonly labels: readonly string[];
  readonly help: string;
}
