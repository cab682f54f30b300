import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import compareManifests from './compareManifests';
import withDefaults from './withDefaults';
import describeVersion from './describeVersion';
import formatChanges from './formatChanges';
import type ManifestChange from './ManifestChange';
import type ManifestPlan from './ManifestPlan';
import type CommandFailure from './CommandFailure';
import type CommandReport from './CommandReport';
import type StoredManifest from './StoredManifest';

/** Options of an apply. */
interface CommitOptions {
  /** The active version that the operator reviewed the changes against; defaults to the plan's. */
  readonly planned?: number;
  /** For a rollback, the earlier version whose manifest is applied again. */
  readonly rollbackOf?: number;
}

/**
 * Applies a plan unless it changes nothing. If the active version is not the one
 * planned against, changes nothing and fails with a conflict that names both.
 */
export default async function commitPlan(
  plan: ManifestPlan,
  { planned, rollbackOf }: CommitOptions,
): Promise<Result<CommandReport & { readonly version: number }, CommandFailure>> {
  const { store, manifest, current, changes } = plan;
  const version = current?.version ?? 0;
  if (changes.length === 0 && current) return ok(unchangedReport(current));
  if (planned !== undefined && planned !== version)
    return err(conflictFailure(planned, current, changes));
  const applied = await store.apply(manifest, current, rollbackOf);
  if (applied.isErr()) return err(applied.error);
  const { stored, isApplied } = applied.value;
  if (isApplied) return ok(appliedReport(stored!, changes));
  const remaining = compareManifests(withDefaults(stored), manifest);
  return remaining.length === 0 && stored
    ? ok(unchangedReport(stored))
    : err(conflictFailure(version, stored, remaining));
}

function unchangedReport(current: StoredManifest): CommandReport & { readonly version: number } {
  const { version, appliedAt } = current;
  return {
    version,
    lines: [`In force already: ${describeVersion(current)}; nothing was changed.`],
    json: { applied: false, version, appliedAt, changes: [] },
  };
}

function appliedReport(
  stored: StoredManifest,
  changes: readonly ManifestChange[],
): CommandReport & { readonly version: number } {
  const { version, applyId, appliedAt } = stored;
  return {
    version,
    lines: [`Applied ${describeVersion(stored)}:`, ...formatChanges(changes)],
    json: { applied: true, version, applyId, appliedAt, changes },
  };
}

function conflictFailure(
  planned: number,
  current: StoredManifest | undefined,
  changes: readonly ManifestChange[],
): CommandFailure {
  const version = current?.version ?? 0;
  return {
    exitCode: exitCodes.conflict,
    lines: [
      `planned against version ${planned}, but in force is ${describeVersion(current)}; nothing was changed`,
      ...(changes.length > 0 ? [`Against version ${version} the manifest changes:`] : []),
      ...formatChanges(changes),
    ],
    json: { planned, version, appliedAt: current?.appliedAt, changes },
  };
}
