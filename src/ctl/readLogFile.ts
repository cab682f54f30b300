import path from 'node:path';
import type { ResultAsync } from 'neverthrow';
import type Finding from '../core/Finding';
import readText from '../settings/readText';
import type LogLine from './LogLine';
import readLogLines from './readLogLines';

/** Reads the log lines of a file, which names their process where no collector has; "-" is standard input. */
export default function readLogFile(
  file: string,
): ResultAsync<readonly LogLine[], readonly Finding[]> {
  const source = file === '-' ? STANDARD_INPUT : file;
  const name = file === '-' ? '' : path.basename(file, path.extname(file));
  return readText(source).map((text) => readLogLines(text, name));
}

/** The path by which standard input is read as a file. */
const STANDARD_INPUT = '/dev/stdin';
