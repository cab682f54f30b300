import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import compareManifests from './compareManifests';
import completed from './completed';
import describeVersion from './describeVersion';
import formatChanges from './formatChanges';
import type ManifestChange from './ManifestChange';
import type ManifestPlan from './ManifestPlan';
import type Problem from './Problem';
import type Report from './Report';
import type StoredManifest from './StoredManifest';

/** How a plan is to be carried out. */
interface How {
  /** The version that the difference was looked at against; the plan's own when absent. */
  readonly planned?: number;
  /** The earlier version that is being repeated. */
  readonly rollbackOf?: number;
}

/**
 * Applies a plan unless it changes nothing. A version other than the one
 * planned against is a conflict: both are shown and nothing is changed.
 */
export default async function commitPlan(
  plan: ManifestPlan,
  { planned, rollbackOf }: How,
): Promise<Result<Report & { readonly version: number }, Problem>> {
  const { store, manifest, current, changes } = plan;
  const version = current?.version ?? 0;
  if (changes.length === 0 && current) return ok(unchanged(current));
  if (planned !== undefined && planned !== version) return err(conflict(planned, current, changes));
  const applied = await store.apply(manifest, current, rollbackOf);
  if (applied.isErr()) return err(applied.error);
  const { stored, done } = applied.value;
  if (done) return ok(changed(stored!, changes));
  const missing = compareManifests(completed(stored), manifest);
  return missing.length === 0 && stored
    ? ok(unchanged(stored))
    : err(conflict(version, stored, missing));
}

function unchanged(current: StoredManifest): Report & { readonly version: number } {
  const { version, appliedAt } = current;
  return {
    version,
    lines: [`In force already: ${describeVersion(current)}; nothing was changed.`],
    json: { applied: false, version, appliedAt, changes: [] },
  };
}

function changed(
  stored: StoredManifest,
  changes: readonly ManifestChange[],
): Report & { readonly version: number } {
  const { version, applyId, appliedAt } = stored;
  return {
    version,
    lines: [`Applied ${describeVersion(stored)}:`, ...formatChanges(changes)],
    json: { applied: true, version, applyId, appliedAt, changes },
  };
}

function conflict(
  planned: number,
  found: StoredManifest | undefined,
  changes: readonly ManifestChange[],
): Problem {
  const version = found?.version ?? 0;
  return {
    exitCode: exitCodes.conflict,
    lines: [
      `planned against version ${planned}, but in force is ${describeVersion(found)}; nothing was changed`,
      ...(changes.length > 0 ? [`Against version ${version} the manifest changes:`] : []),
      ...formatChanges(changes),
    ],
    json: { planned, version, appliedAt: found?.appliedAt, changes },
  };
}
