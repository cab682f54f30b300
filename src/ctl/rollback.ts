import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import type Command from './Command';
import type CommandInput from './CommandInput';
import commitAndWait from './commitAndWait';
import compareManifests from './compareManifests';
import completed from './completed';
import type CtlContext from './CtlContext';
import findTargets from './findTargets';
import limitOption from './limitOption';
import ManifestStore from './ManifestStore';
import type ManifestPlan from './ManifestPlan';
import type Problem from './Problem';
import readNumber from './readNumber';
import reporting from './reporting';
import targetOptions from './targetOptions';

/** Applies an earlier version's manifest again, as a new version. */
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
  run: reporting(async (input, context) => {
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
): Promise<Result<ManifestPlan, Problem>> {
  const targets = await findTargets(input, context, ['store']);
  if (targets.isErr()) return err(targets.error);
  const store = ManifestStore.at(targets.value.store!, context);
  const kept = await store.kept();
  if (kept.isErr()) return err(kept.error);
  const wanted = kept.value.find((stored) => stored.version === version);
  if (!wanted)
    return err(
      notKept(
        version,
        kept.value.map((stored) => stored.version),
      ),
    );
  const current = kept.value[0];
  const manifest = completed(wanted);
  return ok({ store, manifest, current, changes: compareManifests(completed(current), manifest) });
}

function notKept(version: number, kept: readonly number[]): Problem {
  const known = kept.length === 0 ? 'there is none yet' : `kept are ${kept.join(', ')}`;
  return {
    exitCode: exitCodes.notFound,
    lines: [`there is no version ${version} to go back to; ${known}`],
    json: { kept },
  };
}
