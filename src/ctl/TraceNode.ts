import type TraceSpan from './TraceSpan';

/** A span with its child spans, ordered by start time. */
export default interface TraceNode {
  readonly span: TraceSpan;
  readonly children: readonly TraceNode[];
}
