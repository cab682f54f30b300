import type TraceSpan from './TraceSpan';

/** A span with the spans that are parts of it, in the order of their beginning. */
export default interface TraceNode {
  readonly span: TraceSpan;
  readonly children: readonly TraceNode[];
}
