import { ResultAsync } from 'neverthrow';
import type Finding from '../core/Finding';
import type Terminal from '../core/Terminal';
import formatFinding from '../settings/formatFinding';

/** Reads the files given to a command. If one cannot be read, prints why and returns undefined. */
export default async function readFiles<Content>(
  files: readonly string[],
  read: (file: string) => ResultAsync<Content, readonly Finding[]>,
  terminal: Terminal,
): Promise<readonly Content[] | undefined> {
  const contents = await ResultAsync.combine(files.map(read));
  if (contents.isOk()) return contents.value;
  contents.error.forEach((finding) => terminal.warn(formatFinding(finding)));
  return undefined;
}
