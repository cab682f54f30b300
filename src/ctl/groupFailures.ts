import type LogLine from './LogLine';

/** Requests that got no result for the same reason within one time window, or a fault of a process. */
interface FailureGroup {
  /** Start of the window, ms after the first line. */
  readonly atMs: number;
  readonly reason: string;
  /** Number of requests; 0 for a fault of a process, which does not count requests. */
  readonly requests: number;
  /** Id of one of the requests, for use with the command `explain`; empty when no line has one. */
  readonly example: string;
}

/**
 * Groups the requests that got no result by reason and by the time window in which they were answered,
 * ordered by time, the most frequent reason first. Reasons that differ only in numbers are the same.
 * Faults of processes are included, since a process that ends logs nothing about its pending requests.
 */
export default function groupFailures(lines: readonly LogLine[]): readonly FailureGroup[] {
  const startMs = lines.reduce((first, { timeMs }) => Math.min(first, timeMs), Infinity);
  const groups = new Map<string, FailureGroup>();
  lines.forEach((line) => {
    const fault = processFaultOf(line);
    const reason = fault ?? failureReasonOf(line);
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

/** The fault of the process itself, if the line reports one. */
function processFaultOf({ process, message, fields }: LogLine): string | undefined {
  if (message === 'the process ends' && fields.exitCode !== 0) {
    return `${process} ends: ${String(fields.reason)}`;
  }
  if (message !== 'an error reached nobody') return undefined;
  const { name, message: text } = (fields.error ?? {}) as Readonly<Record<string, unknown>>;
  return `${process}: ${message}: ${String(name)}: ${String(text)}`;
}

/** Why a request got no result, if the line reports that. */
function failureReasonOf({ message, fields }: LogLine): string | undefined {
  const reason = String(fields.reason ?? '').replace(/\d+/g, 'N');
  if (message === 'a batch is answered') {
    return fields.kind === 'completed' ? undefined : `${String(fields.kind)}: ${reason}`;
  }
  if (message === 'a batch is refused') return `refused: ${reason}`;
  return message.startsWith('a request is refused') ? message : undefined;
}

/** Length of a time window: short enough to separate a fault from its consequences. */
const WINDOW_MS = 2_000;
