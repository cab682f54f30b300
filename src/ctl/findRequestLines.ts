import type LogLine from './LogLine';

/**
 * Returns the log lines that explain the course of a request, ordered by time: the lines that name it, and
 * those in which a process involved in it reports a fault or change of its own at about the same time.
 */
export default function findRequestLines(
  lines: readonly LogLine[],
  request: string,
): readonly LogLine[] {
  const requestLines = lines.filter((line) => concernsRequest(line, request));
  if (requestLines.length === 0) return [];
  const times = requestLines.map(({ timeMs }) => timeMs);
  const from = Math.min(...times) - MARGIN_BEFORE_MS;
  const until = Math.max(...times) + MARGIN_AFTER_MS;
  const involved = new Set(requestLines.flatMap((line) => [line.process, ...sidecarsOf(line)]));
  const processLines = lines.filter(
    (line) =>
      involved.has(line.process) &&
      line.timeMs >= from &&
      line.timeMs <= until &&
      concernsProcess(line),
  );
  return [...requestLines, ...processLines].sort((a, b) => a.timeMs - b.timeMs);
}

function concernsRequest({ fields }: LogLine, request: string): boolean {
  const { request: id, requests, batch } = fields;
  return (
    id === request || batch === request || (Array.isArray(requests) && requests.includes(request))
  );
}

/** Whether a line concerns the process itself: a warning, an error or a change of its state. */
function concernsProcess({ fields, level }: LogLine): boolean {
  const hasRequestField = 'request' in fields || 'requests' in fields || 'batch' in fields;
  return (
    !hasRequestField &&
    (level === 'warn' || level === 'error' || STATE_CHANGE_FIELDS.some((key) => key in fields))
  );
}

/** Fields of log lines about links, backend servers, the configuration and pauses. */
const STATE_CHANGE_FIELDS = ['sidecar', 'entry', 'backend', 'version', 'gapMs'];

function sidecarsOf({ fields }: LogLine): readonly string[] {
  const starts = Array.isArray(fields.starts) ? (fields.starts as { sidecar?: string }[]) : [];
  const names = [fields.sidecar, ...starts.map(({ sidecar }) => sidecar)];
  return names.filter((name) => typeof name === 'string');
}

/** Time before and after a request in which other lines may explain it: a lease, and the detection of its loss. */
const MARGIN_BEFORE_MS = 1_000;
const MARGIN_AFTER_MS = 200;
