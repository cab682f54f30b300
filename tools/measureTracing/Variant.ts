/** What is switched on in one measurement. */
export default interface Variant {
  readonly name: string;
  readonly metrics: boolean;
  /** Share of requests that are traced; undefined without a tracer. */
  readonly sample: number | undefined;
}
