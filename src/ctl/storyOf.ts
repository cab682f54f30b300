import type LogLine from './LogLine';

/**
 * The lines that tell what became of a request, in order: those that name it, and those in which a
 * process that had to do with it met trouble of its own in the meantime.
 */
export default function storyOf(lines: readonly LogLine[], request: string): readonly LogLine[] {
  const own = lines.filter((line) => isAbout(line, request));
  if (own.length === 0) return [];
  const times = own.map(({ timeMs }) => timeMs);
  const from = Math.min(...times) - BEFORE_MS;
  const until = Math.max(...times) + AFTER_MS;
  const involved = new Set(own.flatMap((line) => [line.process, ...sidecarsOf(line)]));
  const around = lines.filter(
    (line) =>
      involved.has(line.process) &&
      line.timeMs >= from &&
      line.timeMs <= until &&
      isOfProcess(line),
  );
  return [...own, ...around].sort((a, b) => a.timeMs - b.timeMs);
}

function isAbout({ fields }: LogLine, request: string): boolean {
  const { request: id, requests, batch } = fields;
  return (
    id === request || batch === request || (Array.isArray(requests) && requests.includes(request))
  );
}

/** Whether a line tells of the process itself: trouble, or a change of what it believes. */
function isOfProcess({ fields, level }: LogLine): boolean {
  const isOfRequest = 'request' in fields || 'requests' in fields || 'batch' in fields;
  return (
    !isOfRequest && (level === 'warn' || level === 'error' || CHANGES.some((key) => key in fields))
  );
}

/** Fields of lines on links, backend servers and the configuration. */
const CHANGES = ['sidecar', 'entry', 'backend', 'version', 'gapMs'];

function sidecarsOf({ fields }: LogLine): readonly string[] {
  const starts = Array.isArray(fields.starts) ? (fields.starts as { sidecar?: string }[]) : [];
  const names = [fields.sidecar, ...starts.map(({ sidecar }) => sidecar)];
  return names.filter((name) => typeof name === 'string');
}

/** Time around a request in which other lines may explain it, ms: a lease, and what detects its loss. */
const BEFORE_MS = 1_000;
const AFTER_MS = 200;
