import type LogLine from './LogLine';

/**
 * Reads the log lines in a text; other lines are passed over. A collector may have put the name of
 * the process before each line, or before the first of several that were written together, as in
 * `12.345 entry-1 {"message":...}`; else all are of `process`.
 */
export default function readLogLines(text: string, process: string): readonly LogLine[] {
  let newest = process;
  return text.split('\n').flatMap((line) => {
    const at = line.indexOf('{"');
    if (at < 0) return [];
    const name = line.slice(0, at).trim().split(/\s+/).pop() ?? '';
    if (name !== '') newest = name;
    const read = parse(line.slice(at));
    return read ? [{ ...read, process: newest }] : [];
  });
}

function parse(json: string): Omit<LogLine, 'process'> | undefined {
  try {
    const { time, level, message, ...fields } = JSON.parse(json) as Record<string, unknown>;
    const timeMs = Date.parse(String(time));
    if (typeof message !== 'string' || Number.isNaN(timeMs)) return undefined;
    return { timeMs, level: String(level), message, fields };
  } catch {
    return undefined;
  }
}
