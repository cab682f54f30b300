import type TraceNode from './TraceNode';
import type TraceSpan from './TraceSpan';

/** Formats a trace as a text tree with the name, process, start and duration of each span. */
export default function renderTrace(roots: readonly TraceNode[]): string {
  const spans = roots.flatMap(spansOf);
  const startMs = Math.min(...spans.map((span) => span.startMs));
  const endMs = Math.max(...spans.map((span) => span.startMs + span.tookMs));
  const processes = new Set(spans.map(({ process }) => process)).size;
  const size = `${countText(spans.length, 'span')} of ${countText(processes, 'process', 'es')}`;
  const heading = `trace ${spans[0]?.traceId}: ${size}, ${msText(endMs - startMs)}`;
  return [heading, ...roots.flatMap((root) => linesOf(root, startMs, '', ''))].join('\n');
}

function spansOf(node: TraceNode): TraceSpan[] {
  return [node.span, ...node.children.flatMap(spansOf)];
}

function linesOf(node: TraceNode, startMs: number, prefix: string, childPrefix: string): string[] {
  const lastIndex = node.children.length - 1;
  const childLines = node.children.flatMap((child, index) =>
    index === lastIndex
      ? linesOf(child, startMs, `${childPrefix}└─ `, `${childPrefix}   `)
      : linesOf(child, startMs, `${childPrefix}├─ `, `${childPrefix}│  `),
  );
  return [`${prefix}${lineOf(node.span, startMs)}`, ...childLines];
}

function lineOf(span: TraceSpan, startMs: number): string {
  const { name, process, tookMs, error, attributes } = span;
  const attributeTexts = Object.entries(attributes).map(
    ([key, value]) => `${key}=${textOf(value)}`,
  );
  const errorTexts = error === undefined ? [] : [`ERROR ${error}`];
  const times = `at ${msText(span.startMs - startMs)} for ${msText(tookMs)}`;
  return [`${name} @${process}`, times, ...errorTexts, attributeTexts.join(' ')]
    .join('  ')
    .trimEnd();
}

function textOf(value: unknown): string {
  const text = String(value);
  return /^\S+$/.test(text) ? text : JSON.stringify(text);
}

function msText(ms: number): string {
  return `${ms.toFixed(1)} ms`;
}

function countText(number: number, word: string, plural = 's'): string {
  return `${number} ${word}${number === 1 ? '' : plural}`;
}
