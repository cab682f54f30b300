import { err, ok, type Result } from 'neverthrow';
import type CommandInput from './CommandInput';
import commitPlan from './commitPlan';
import type CtlContext from './CtlContext';
import findTargets from './findTargets';
import type ManifestPlan from './ManifestPlan';
import type Problem from './Problem';
import readNumber from './readNumber';
import type Report from './Report';
import waitInForce from './waitInForce';

/** Applies a plan and, with --wait, waits until it is in force everywhere. */
export default async function commitAndWait(
  input: CommandInput,
  context: CtlContext,
  makePlan: () => Promise<Result<ManifestPlan, Problem>>,
  rollbackOf?: number,
): Promise<Result<Report, Problem>> {
  const isWaiting = input.options.wait === true;
  const targets = await findTargets(input, context, isWaiting ? ['store', 'entry'] : ['store']);
  if (targets.isErr()) return err(targets.error);
  const limit = readNumber('--limit', input.options.limit);
  if (limit.isErr()) return err(limit.error);
  const planned = readPlanned(input);
  if (planned.isErr()) return err(planned.error);
  const plan = await makePlan();
  if (plan.isErr()) return err(plan.error);
  const applied = await commitPlan(plan.value, { planned: planned.value, rollbackOf });
  if (applied.isErr() || !isWaiting) return applied;
  const { version, lines, json } = applied.value;
  const waited = await waitInForce(version, targets.value.entries, limit.value * 1000, context);
  return waited
    .map((after) => ({ lines: [...lines, ...after.lines], json: { ...json, ...after.json } }))
    .mapErr((problem) => ({ ...problem, json: { ...json, ...problem.json } }));
}

function readPlanned({ options }: CommandInput): Result<number | undefined, Problem> {
  return options.planned === undefined ? ok(undefined) : readNumber('--planned', options.planned);
}
