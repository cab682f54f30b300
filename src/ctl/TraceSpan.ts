/** An exported span. Times are in milliseconds. */
export default interface TraceSpan {
  readonly traceId: string;
  readonly spanId: string;
  /** Empty for the root span of a trace. */
  readonly parentId: string;
  readonly name: string;
  /** The instance that recorded the span. */
  readonly process: string;
  /** Start time since the epoch, by that instance's clock. */
  readonly startMs: number;
  readonly tookMs: number;
  /** Error message; undefined when the span has no error status. */
  readonly error: string | undefined;
  readonly attributes: Readonly<Record<string, unknown>>;
}
