/** The observability features enabled in one measurement. */
export default interface TracingVariant {
  readonly name: string;
  readonly metrics: boolean;
  /** Share of requests that are traced, 0 to 1; undefined without a tracer. */
  readonly sample: number | undefined;
}
