import { err } from 'neverthrow';
import type Command from './Command';
import compareManifests from './compareManifests';
import completed from './completed';
import findTargets from './findTargets';
import formatTable from './formatTable';
import ManifestStore from './ManifestStore';
import type Report from './Report';
import reporting from './reporting';
import type StoredManifest from './StoredManifest';
import targetOptions from './targetOptions';

/** Lists the versions applied lately. */
const history: Command = {
  args: '',
  description: 'List the versions that were applied, the newest first',
  options: [targetOptions.store, targetOptions.targets],
  run: reporting(async (input, context) => {
    const targets = await findTargets(input, context, ['store']);
    if (targets.isErr()) return err(targets.error);
    return ManifestStore.at(targets.value.store!, context).kept().map(describe);
  }),
};

export default history;

function describe(kept: readonly StoredManifest[]): Report {
  const versions = kept.map((stored, at) => ({
    ...stored,
    inForce: at === 0,
    changes: changesIn(stored, kept[at + 1]),
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

/** The differences to the version before; undefined when that is not kept. */
function changesIn(stored: StoredManifest, before: StoredManifest | undefined) {
  if (!before && stored.version > 1) return undefined;
  return compareManifests(completed(before), completed(stored));
}
