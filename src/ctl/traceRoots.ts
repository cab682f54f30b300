import type TraceNode from './TraceNode';
import type TraceSpan from './TraceSpan';

/**
 * Builds the span trees of one trace. There is one root, unless the parents of some spans were not
 * exported or are spans of the caller, which are exported elsewhere: each such span is then a root.
 */
export default function traceRoots(spans: readonly TraceSpan[]): readonly TraceNode[] {
  const unique = [...new Map(spans.map((span) => [span.spanId, span])).values()];
  const ordered = unique.sort((a, b) => a.startMs - b.startMs);
  const known = new Set(ordered.map(({ spanId }) => spanId));
  const byParent = new Map<string, TraceSpan[]>();
  ordered.forEach((span) => {
    byParent.set(span.parentId, [...(byParent.get(span.parentId) ?? []), span]);
  });
  const nodeOf = (span: TraceSpan): TraceNode => ({
    span,
    children: (byParent.get(span.spanId) ?? []).map(nodeOf),
  });
  return ordered.filter(({ parentId }) => !known.has(parentId)).map(nodeOf);
}
