import type createLineLogger from './createLineLogger';

interface ProcessEnd {
  readonly reason: string;
  readonly exitCode: number;
  /** Further fields of the log line. */
  readonly [field: string]: unknown;
}

/** Logs why this process ends, and exits once the buffered lines are written, or after `DRAIN_LIMIT_MS` if the reader is slow. */
export default async function endProcess(
  { log, drain }: ReturnType<typeof createLineLogger>,
  end: ProcessEnd,
): Promise<void> {
  const write = end.exitCode === 0 ? log.info : log.error;
  write('the process ends', end);
  await drain(DRAIN_LIMIT_MS);
  process.exit(end.exitCode);
}

/**
 * Time limit for writing the last lines, ms: a working reader needs less, and it lies within the time reserved
 * for the end of a planned stop.
 */
const DRAIN_LIMIT_MS = 200;
