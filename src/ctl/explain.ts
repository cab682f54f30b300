import type ExitCode from '../core/ExitCode';
import exitCodes from '../core/exitCodes';
import type Terminal from '../core/Terminal';
import type Command from './Command';
import type CommandInput from './CommandInput';
import type LogLine from './LogLine';
import readFiles from './readFiles';
import readLogFile from './readLogFile';
import findRequestLines from './findRequestLines';

/** Shows the course of one request, from the log lines of several processes. */
const explain: Command = {
  args: '<id> <...files>',
  description: 'Tell what became of a request, from log lines in files ("-": standard input)',
  options: [],
  run,
};

export default explain;

async function run({ args, json }: CommandInput, terminal: Terminal): Promise<ExitCode> {
  const [id = '', ...files] = args;
  const lines = await readFiles(files, readLogFile, terminal);
  if (!lines) return exitCodes.badFile;
  const requestLines = findRequestLines(lines.flat(), id);
  if (requestLines.length === 0) {
    terminal.warn(`no line in these files names the request ${id}`);
    return exitCodes.notFound;
  }
  if (json) terminal.print(JSON.stringify({ request: id, lines: requestLines }));
  else requestLines.forEach((line) => terminal.print(describe(line, requestLines[0]!.timeMs)));
  return exitCodes.ok;
}

function describe({ process, timeMs, level, message, fields }: LogLine, startMs: number): string {
  const offset = `${((timeMs - startMs) / SECOND_MS).toFixed(3)} s`.padStart(9);
  const values = Object.entries(fields).map(([key, value]) => `${key}=${formatField(value)}`);
  const levelPrefix = level === 'warn' || level === 'error' ? `${level}: ` : '';
  return `${offset}  ${process}  ${levelPrefix}${message}  ${values.join(' ')}`.trimEnd();
}

function formatField(value: unknown): string {
  if (typeof value === 'string') return value.includes(' ') ? JSON.stringify(value) : value;
  if (!Array.isArray(value)) return JSON.stringify(value);
  return `[${value.map(formatItem).join(', ')}]`;
}

/** Formats an item of a list; an object is written as its keys and values in order. */
function formatItem(item: unknown): string {
  if (typeof item !== 'object' || item === null) return String(item);
  return Object.entries(item)
    .map(([key, value]) => `${key} ${String(value)}`)
    .join(' ');
}

const SECOND_MS = 1_000;
