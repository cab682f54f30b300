/** One span as it was exported. Times are in milliseconds. */
export default interface TraceSpan {
  readonly traceId: string;
  readonly spanId: string;
  /** Empty for the first span of a trace. */
  readonly parentId: string;
  readonly name: string;
  /** The instance that made the span. */
  readonly process: string;
  /** Since the epoch, as of that instance's clock. */
  readonly startMs: number;
  readonly tookMs: number;
  /** What went wrong; undefined when nothing did. */
  readonly error: string | undefined;
  readonly attributes: Readonly<Record<string, unknown>>;
}
