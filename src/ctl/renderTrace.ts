import type TraceNode from './TraceNode';
import type TraceSpan from './TraceSpan';

/** A trace as a tree for people: what each hop was, where, when and for how long. */
export default function renderTrace(roots: readonly TraceNode[]): string {
  const spans = roots.flatMap(spansOf);
  const startMs = Math.min(...spans.map((span) => span.startMs));
  const endMs = Math.max(...spans.map((span) => span.startMs + span.tookMs));
  const processes = new Set(spans.map(({ process }) => process)).size;
  const size = `${count(spans.length, 'span')} of ${count(processes, 'process', 'es')}`;
  const head = `trace ${spans[0]?.traceId}: ${size}, ${msText(endMs - startMs)}`;
  return [head, ...roots.flatMap((root) => linesOf(root, startMs, '', ''))].join('\n');
}

function spansOf(node: TraceNode): TraceSpan[] {
  return [node.span, ...node.children.flatMap(spansOf)];
}

function linesOf(node: TraceNode, startMs: number, first: string, further: string): string[] {
  const last = node.children.length - 1;
  const below = node.children.flatMap((child, index) =>
    index === last
      ? linesOf(child, startMs, `${further}└─ `, `${further}   `)
      : linesOf(child, startMs, `${further}├─ `, `${further}│  `),
  );
  return [`${first}${lineOf(node.span, startMs)}`, ...below];
}

function lineOf(span: TraceSpan, startMs: number): string {
  const { name, process, tookMs, error, attributes } = span;
  const about = Object.entries(attributes).map(([key, value]) => `${key}=${textOf(value)}`);
  const wrong = error === undefined ? [] : [`ERROR ${error}`];
  const times = `at ${msText(span.startMs - startMs)} for ${msText(tookMs)}`;
  return [`${name} @${process}`, times, ...wrong, about.join(' ')].join('  ').trimEnd();
}

function textOf(value: unknown): string {
  const text = String(value);
  return /^\S+$/.test(text) ? text : JSON.stringify(text);
}

function msText(ms: number): string {
  return `${ms.toFixed(1)} ms`;
}

function count(number: number, word: string, plural = 's'): string {
  return `${number} ${word}${number === 1 ? '' : plural}`;
}
