import type LogLine from './LogLine';

/** Requests of one window of time that got no result for the same reason, or a fault of a process. */
interface Cause {
  /** Begin of the window, ms since the first line. */
  readonly atMs: number;
  readonly reason: string;
  /** How many; 0 for a fault, which says nothing of requests. */
  readonly requests: number;
  /** The id of one of them, to be explained; empty when the lines have none. */
  readonly example: string;
}

/**
 * Groups the requests that got no result by the window of time in which they were answered and by the
 * reason given, in order of time and the most frequent reason first. Figures in reasons count as alike.
 * Faults of processes stand among them, since a process that ends writes nothing of the requests it held.
 */
export default function causesOf(lines: readonly LogLine[]): readonly Cause[] {
  const startMs = lines.reduce((first, { timeMs }) => Math.min(first, timeMs), Infinity);
  const groups = new Map<string, Cause>();
  lines.forEach((line) => {
    const fault = faultOf(line);
    const reason = fault ?? reasonOf(line);
    if (reason === undefined) return;
    const atMs = Math.floor((line.timeMs - startMs) / WINDOW_MS) * WINDOW_MS;
    const key = `${atMs} ${reason}`;
    const { requests, example } = groups.get(key) ?? { requests: 0, example: '' };
    const id = example === '' ? String(line.fields.request ?? '') : example;
    groups.set(key, {
      atMs,
      reason,
      requests: fault === undefined ? requests + 1 : 0,
      example: id,
    });
  });
  return [...groups.values()].sort((a, b) => a.atMs - b.atMs || b.requests - a.requests);
}

/** What went wrong with the process itself, if the line says so. */
function faultOf({ process, message, fields }: LogLine): string | undefined {
  if (message === 'the process ends' && fields.exitCode !== 0) {
    return `${process} ends: ${String(fields.reason)}`;
  }
  if (message !== 'an error reached nobody') return undefined;
  const { name, message: text } = (fields.error ?? {}) as Readonly<Record<string, unknown>>;
  return `${process}: ${message}: ${String(name)}: ${String(text)}`;
}

/** Why a request got no result, if the line says so. */
function reasonOf({ message, fields }: LogLine): string | undefined {
  const reason = String(fields.reason ?? '').replace(/\d+/g, 'N');
  if (message === 'a batch is answered') {
    return fields.kind === 'completed' ? undefined : `${String(fields.kind)}: ${reason}`;
  }
  if (message === 'a batch is refused') return `refused: ${reason}`;
  return message.startsWith('a request is refused') ? message : undefined;
}

/** Length of a window, ms: short enough to tell a trouble from what follows it. */
const WINDOW_MS = 2_000;
