import type TraceNode from './TraceNode';
import type TraceSpan from './TraceSpan';

/**
 * Puts the spans of one trace together as trees. There is one root, unless spans in between were
 * not exported or the caller has spans of its own elsewhere; each root begins a part then.
 */
export default function traceRoots(spans: readonly TraceSpan[]): readonly TraceNode[] {
  const unique = [...new Map(spans.map((span) => [span.spanId, span])).values()];
  const ordered = unique.sort((one, other) => one.startMs - other.startMs);
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
