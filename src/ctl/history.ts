import { err } from 'neverthrow';
import type Command from './Command';
import compareManifests from './compareManifests';
import withDefaults from './withDefaults';
import findTargets from './findTargets';
import formatTable from './formatTable';
import ManifestStore from './ManifestStore';
import type CommandReport from './CommandReport';
import printResultOf from './printResultOf';
import type StoredManifest from './StoredManifest';
import targetOptions from './targetOptions';

/** Lists the applied versions that the store still holds. */
const history: Command = {
  args: '',
  description: 'List the versions that were applied, the newest first',
  options: [targetOptions.store, targetOptions.targets],
  run: printResultOf(async (input, context) => {
    const targets = await findTargets(input, context, ['store']);
    if (targets.isErr()) return err(targets.error);
    return ManifestStore.at(targets.value.store!, context).listVersions().map(describe);
  }),
};

export default history;

function describe(newestFirst: readonly StoredManifest[]): CommandReport {
  const versions = newestFirst.map((stored, index) => ({
    ...stored,
    inForce: index === 0,
    changes: changesIn(stored, newestFirst[index + 1]),
  }));
  if (versions.length === 0) return { lines: ['No version was applied yet.'], json: { versions } };
  const rows = versions.map(({ version, appliedAt, rollbackOf, inForce, changes }) => [
    version,
    appliedAt,
    changes?.length ?? '-',
    [inForce ? 'in force' : '', rollbackOf === undefined ? '' : `rollback to ${rollbackOf}`]
      .filter(Boolean)
      .join(', '),
  ]);
  return {
    lines: formatTable([['VERSION', 'APPLIED AT', 'CHANGES', 'NOTE'], ...rows]),
    json: { versions },
  };
}

/** The differences from the previous version; undefined when that is no longer stored. */
function changesIn(stored: StoredManifest, previous: StoredManifest | undefined) {
  if (!previous && stored.version > 1) return undefined;
  return compareManifests(withDefaults(previous), withDefaults(stored));
}
