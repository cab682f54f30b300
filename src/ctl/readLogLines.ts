import type LogLine from './LogLine';

/**
 * Parses the log lines in a text and skips all other lines. A log collector may have put the process
 * name in front of each line, or only of the first of several lines written together, as in
 * `12.345 entry-1 {"message":...}`. Lines before the first such name are attributed to `process`.
 */
export default function readLogLines(text: string, process: string): readonly LogLine[] {
  let currentProcess = process;
  return text.split('\n').flatMap((line) => {
    const start = line.indexOf('{"');
    if (start < 0) return [];
    const name = line.slice(0, start).trim().split(/\s+/).pop() ?? '';
    if (name !== '') currentProcess = name;
    const parsed = parse(line.slice(start));
    return parsed ? [{ ...parsed, process: currentProcess }] : [];
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
