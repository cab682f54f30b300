import { err, ok, type Result } from 'neverthrow';
import type CommandInput from './CommandInput';
import compareManifests from './compareManifests';
import withDefaults from './withDefaults';
import type CtlContext from './CtlContext';
import findTargets from './findTargets';
import ManifestStore from './ManifestStore';
import type ManifestPlan from './ManifestPlan';
import type CommandFailure from './CommandFailure';
import readManifest from './readManifest';

/** Compares the manifest file given to a command with the active manifest. */
export default async function makePlan(
  input: CommandInput,
  context: CtlContext,
): Promise<Result<ManifestPlan, CommandFailure>> {
  const manifest = await readManifest(input.args[0] ?? '');
  if (manifest.isErr()) return err(manifest.error);
  const targets = await findTargets(input, context, ['store']);
  if (targets.isErr()) return err(targets.error);
  const store = ManifestStore.at(targets.value.store!, context);
  const current = await store.current();
  if (current.isErr()) return err(current.error);
  const changes = compareManifests(withDefaults(current.value), manifest.value);
  return ok({ store, manifest: manifest.value, current: current.value, changes });
}
