import type { ConsolaInstance } from 'consola/core';

interface ProcessEnd {
  readonly reason: string;
  readonly exitCode: number;
  /** What else is known of it. */
  readonly [field: string]: unknown;
}

/** Ends this process at once, with a line that says why; lines that wait are written first. */
export default function endProcess(
  log: Pick<ConsolaInstance, 'info' | 'error'>,
  end: ProcessEnd,
): never {
  const write = end.exitCode === 0 ? log.info : log.error;
  write('the process ends', end);
  process.exit(end.exitCode);
}
