import { readFile } from 'node:fs/promises';
import { ResultAsync } from 'neverthrow';
import type Finding from '../core/Finding';

/** Reads a file that an operator wrote. If it cannot be read, the error is a finding that says why. */
export default function readText(file: string): ResultAsync<string, readonly Finding[]> {
  return ResultAsync.fromPromise(readFile(file, 'utf8'), (error) => [
    { file, line: 1, column: 1, path: '', message: `cannot be read: ${reasonOf(error)}` },
  ]);
}

const REASONS: Readonly<Record<string, string>> = {
  ENOENT: 'there is no such file',
  EISDIR: 'it is a directory',
  EACCES: 'permission denied',
};

function reasonOf(error: unknown): string {
  const { code, message } = error as NodeJS.ErrnoException;
  return REASONS[code ?? ''] ?? message;
}
