import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import type Command from './Command';
import type CommandInput from './CommandInput';
import commitAndWait from './commitAndWait';
import compareManifests from './compareManifests';
import withDefaults from './withDefaults';
import type CtlContext from './CtlContext';
import findTargets from './findTargets';
import limitOption from './limitOption';
import ManifestStore from './ManifestStore';
import type ManifestPlan from './ManifestPlan';
import type CommandFailure from './CommandFailure';
import readNumber from './readNumber';
import printResultOf from './printResultOf';
import targetOptions from './targetOptions';

/** Applies the manifest of an earlier version again, as a new version. */
const rollback: Command = {
  args: '<version>',
  description: "Put an earlier version's manifest in force again, as a new version",
  options: [
    targetOptions.store,
    targetOptions.entry,
    targetOptions.targets,
    {
      flags: '--wait',
      description: 'End when every live process has it in force, or name those that do not',
    },
    limitOption,
  ],
  run: printResultOf(async (input, context) => {
    const version = readNumber('<version>', input.args[0]);
    if (version.isErr()) return err(version.error);
    const makePlan = () => planRollback(input, context, version.value);
    return commitAndWait(input, context, makePlan, version.value);
  }),
};

export default rollback;

async function planRollback(
  input: CommandInput,
  context: CtlContext,
  version: number,
): Promise<Result<ManifestPlan, CommandFailure>> {
  const targets = await findTargets(input, context, ['store']);
  if (targets.isErr()) return err(targets.error);
  const store = ManifestStore.at(targets.value.store!, context);
  const versions = await store.listVersions();
  if (versions.isErr()) return err(versions.error);
  const wanted = versions.value.find((stored) => stored.version === version);
  if (!wanted)
    return err(
      versionNotFound(
        version,
        versions.value.map((stored) => stored.version),
      ),
    );
  const current = versions.value[0];
  const manifest = withDefaults(wanted);
  return ok({
    store,
    manifest,
    current,
    changes: compareManifests(withDefaults(current), manifest),
  });
}

function versionNotFound(version: number, kept: readonly number[]): CommandFailure {
  const known = kept.length === 0 ? 'there is none yet' : `kept are ${kept.join(', ')}`;
  return {
    exitCode: exitCodes.notFound,
    lines: [`there is no version ${version} to go back to; ${known}`],
    json: { kept },
  };
}
