import { err, ok, type Result } from 'neverthrow';
import type CommandInput from './CommandInput';
import commitPlan from './commitPlan';
import type CtlContext from './CtlContext';
import findTargets from './findTargets';
import type ManifestPlan from './ManifestPlan';
import type CommandFailure from './CommandFailure';
import readNumber from './readNumber';
import type CommandReport from './CommandReport';
import waitUntilInEffect from './waitUntilInEffect';

/** Applies a plan and, with --wait, waits until it is active at every process. */
export default async function commitAndWait(
  input: CommandInput,
  context: CtlContext,
  makePlan: () => Promise<Result<ManifestPlan, CommandFailure>>,
  rollbackOf?: number,
): Promise<Result<CommandReport, CommandFailure>> {
  const shouldWait = input.options.wait === true;
  const targets = await findTargets(input, context, shouldWait ? ['store', 'entry'] : ['store']);
  if (targets.isErr()) return err(targets.error);
  const limit = readNumber('--limit', input.options.limit);
  if (limit.isErr()) return err(limit.error);
  const planned = readPlanned(input);
  if (planned.isErr()) return err(planned.error);
  const plan = await makePlan();
  if (plan.isErr()) return err(plan.error);
  const applied = await commitPlan(plan.value, { planned: planned.value, rollbackOf });
  if (applied.isErr() || !shouldWait) return applied;
  const { version, lines, json } = applied.value;
  const waited = await waitUntilInEffect(
    version,
    targets.value.entries,
    limit.value * 1000,
    context,
  );
  return waited
    .map((report) => ({ lines: [...lines, ...report.lines], json: { ...json, ...report.json } }))
    .mapErr((failure) => ({ ...failure, json: { ...json, ...failure.json } }));
}

function readPlanned({ options }: CommandInput): Result<number | undefined, CommandFailure> {
  return options.planned === undefined ? ok(undefined) : readNumber('--planned', options.planned);
}
