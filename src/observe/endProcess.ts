import type createLineLogger from './createLineLogger';

interface ProcessEnd {
  readonly reason: string;
  readonly exitCode: number;
  /** What else is known of it. */
  readonly [field: string]: unknown;
}

/** Ends this process, with a line that says why; lines that wait are written first, as far as a reader takes them. */
export default async function endProcess(
  { log, drain }: ReturnType<typeof createLineLogger>,
  end: ProcessEnd,
): Promise<void> {
  const write = end.exitCode === 0 ? log.info : log.error;
  write('the process ends', end);
  await drain(DRAIN_MS);
  process.exit(end.exitCode);
}

/** A reader that lives takes what waits in less, and it lies within the time kept for the end of a planned stop, ms. */
const DRAIN_MS = 200;
