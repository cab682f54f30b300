import type { Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import formatFinding from '../settings/formatFinding';
import loadManifest from '../settings/loadManifest';
import type Manifest from '../settings/Manifest';
import readText from '../settings/readText';
import type CommandFailure from './CommandFailure';

/** Reads and checks a manifest file. The failure lists all mistakes in it. */
export default async function readManifest(
  file: string,
): Promise<Result<Manifest, CommandFailure>> {
  const loaded = await readText(file).andThen((text) => loadManifest(text, file));
  return loaded.mapErr((findings) => ({
    exitCode: exitCodes.badFile,
    lines: findings.map(formatFinding),
    json: { file, findings },
  }));
}
