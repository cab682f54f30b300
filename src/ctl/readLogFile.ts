import path from 'node:path';
import type { ResultAsync } from 'neverthrow';
import type Finding from '../core/Finding';
import readText from '../settings/readText';
import type LogLine from './LogLine';
import readLogLines from './readLogLines';

/** Reads the log lines of a file; "-" is standard input. Lines without a process name get the name of the file. */
export default function readLogFile(
  file: string,
): ResultAsync<readonly LogLine[], readonly Finding[]> {
  const source = file === '-' ? STANDARD_INPUT_PATH : file;
  const name = file === '-' ? '' : path.basename(file, path.extname(file));
  return readText(source).map((text) => readLogLines(text, name));
}

/** Path at which standard input can be read as a file. */
const STANDARD_INPUT_PATH = '/dev/stdin';
