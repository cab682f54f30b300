import type createLineLogger from './createLineLogger';

interface ProcessEnd {
  readonly reason: string;
  readonly exitCode: number;
  /** Further fields of the log line. */
  readonly [field: string]: unknown;
}

/** Logs why this process ends and exits; buffered lines are written first, as far as the reader of the log accepts them in time. */
export default async function endProcess(
  { log, drain }: ReturnType<typeof createLineLogger>,
  end: ProcessEnd,
): Promise<void> {
  const write = end.exitCode === 0 ? log.info : log.error;
  write('the process ends', end);
  await drain(DRAIN_LIMIT_MS);
  process.exit(end.exitCode);
}

/** Limit for writing the last lines, ms: a working reader needs less, and it fits into the time reserved for the end of a planned stop. */
const DRAIN_LIMIT_MS = 200;
