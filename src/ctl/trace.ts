import type ExitCode from '../core/ExitCode';
import exitCodes from '../core/exitCodes';
import type Terminal from '../core/Terminal';
import readText from '../settings/readText';
import type Command from './Command';
import type CommandInput from './CommandInput';
import readFiles from './readFiles';
import readSpans from './readSpans';
import renderTrace from './renderTrace';
import traceRoots from './traceRoots';
import type TraceSpan from './TraceSpan';

/** Shows a trace from exported spans in files, without connecting to the system. */
const trace: Command = {
  args: '<...files>',
  description: 'Show one trace as a tree, from files with exported spans (JSON lines)',
  options: [
    { flags: '--id <trace>', description: 'The trace id or its beginning; else all are listed' },
  ],
  run,
};

export default trace;

async function run(input: CommandInput, terminal: Terminal): Promise<ExitCode> {
  const texts = await readFiles(input.args, readText, terminal);
  if (!texts) return exitCodes.badFile;
  const { id = '' } = input.options;
  const spans = texts.flatMap(readSpans).filter(({ traceId }) => matchesId(traceId, id));
  const traces = groupByTrace(spans);
  if (traces.length === 0) {
    terminal.warn(id === '' ? 'no spans in these files' : `no trace ${String(id)} in these files`);
    return exitCodes.notFound;
  }
  if (traces.length === 1) printTrace(traces[0]!, input.json, terminal);
  else printTraceList(traces, input.json, terminal);
  return exitCodes.ok;
}

/**
 * Whether a trace id begins with `id`. The command-line parser turns an id that looks like a number,
 * such as `0123` or `12e4`, into a number.
 */
function matchesId(traceId: string, id: unknown): boolean {
  if (typeof id !== 'number') return traceId.startsWith(String(id));
  return [...traceId].some((_, index) => Number(traceId.slice(0, index + 1)) === id);
}

function groupByTrace(spans: readonly TraceSpan[]): readonly (readonly TraceSpan[])[] {
  const traces = new Map<string, TraceSpan[]>();
  spans.forEach((span) => {
    const group = traces.get(span.traceId);
    if (group) group.push(span);
    else traces.set(span.traceId, [span]);
  });
  return [...traces.values()];
}

function printTrace(spans: readonly TraceSpan[], json: boolean, terminal: Terminal): void {
  const roots = traceRoots(spans);
  terminal.print(json ? JSON.stringify({ trace: spans[0]!.traceId, roots }) : renderTrace(roots));
}

function printTraceList(
  traces: readonly (readonly TraceSpan[])[],
  json: boolean,
  terminal: Terminal,
): void {
  const rows = traces.map((spans) => {
    const [root] = traceRoots(spans);
    const { traceId, name, tookMs } = root!.span;
    return { trace: traceId, spans: spans.length, name, tookMs };
  });
  if (json) {
    terminal.print(JSON.stringify({ traces: rows }));
    return;
  }
  rows
    .sort((a, b) => b.tookMs - a.tookMs)
    .forEach(({ trace: id, spans, name, tookMs }) =>
      terminal.print(`${id}  ${name} for ${tookMs.toFixed(1)} ms, ${spans} spans`),
    );
}
