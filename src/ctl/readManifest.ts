import type { Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import formatFinding from '../settings/formatFinding';
import loadManifest from '../settings/loadManifest';
import type Manifest from '../settings/Manifest';
import readText from '../settings/readText';
import type Problem from './Problem';

/** Reads a manifest file; all its mistakes are one problem. */
export default async function readManifest(file: string): Promise<Result<Manifest, Problem>> {
  const loaded = await readText(file).andThen((text) => loadManifest(text, file));
  return loaded.mapErr((findings) => ({
    exitCode: exitCodes.badFile,
    lines: findings.map(formatFinding),
    json: { file, findings },
  }));
}
