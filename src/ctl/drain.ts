import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import nearestWord from '../core/nearestWord';
import type ProcessStatus from '../operators/ProcessStatus';
import type SystemStatus from '../operators/SystemStatus';
import type Command from './Command';
import type CtlContext from './CtlContext';
import fetchStatus from './fetchStatus';
import findTargets from './findTargets';
import limitOption from './limitOption';
import type Problem from './Problem';
import readNumber from './readNumber';
import type Report from './Report';
import reporting from './reporting';
import targetOptions from './targetOptions';
import waitGone from './waitGone';

/** Has a process leave in good order. */
const drain: Command = {
  args: '<instance>',
  description: 'Have an entry or a sidecar finish its work and leave',
  options: [
    targetOptions.entry,
    targetOptions.targets,
    { flags: '--wait', description: 'End when the process is gone from the system' },
    limitOption,
  ],
  run: reporting(async (input, context) => {
    const targets = await findTargets(input, context, ['entry']);
    if (targets.isErr()) return err(targets.error);
    const limit = readNumber('--limit', input.options.limit);
    if (limit.isErr()) return err(limit.error);
    const { entries } = targets.value;
    const found = await fetchStatus(entries, context);
    if (found.isErr()) return err(found.error);
    const process = findProcess(found.value, input.args[0] ?? '');
    if (process.isErr()) return err(process.error);
    const asked = await askToLeave(process.value, context);
    if (asked.isErr() || input.options.wait !== true) return asked;
    return waitGone(process.value, entries, limit.value * 1000, context);
  }),
};

export default drain;

function findProcess(system: SystemStatus, name: string): Result<ProcessStatus, Problem> {
  const runs = system.processes.filter(({ instance }) => instance === name);
  const run = runs.find(({ reachable }) => reachable) ?? runs[0];
  if (run) return ok(run);
  const known = system.processes.map(({ instance }) => instance);
  const near = nearestWord(name, known);
  const hint = near === undefined ? `known are ${known.join(', ')}` : `did you mean "${near}"?`;
  return err({
    exitCode: exitCodes.notFound,
    lines: [`there is no process "${name}"; ${hint}`],
    json: { known },
  });
}

async function askToLeave(
  { instance, incarnation, operators }: ProcessStatus,
  context: CtlContext,
): Promise<Result<Report, Problem>> {
  if (operators === '') return err(unreachable(instance, "its operators' address is not known"));
  const answer = await context.operators.request('POST', operators, '/v1/drain');
  if (answer.isErr()) return err(unreachable(instance, answer.error));
  if (answer.value.status !== 202) {
    return err(unreachable(instance, JSON.stringify(answer.value.body)));
  }
  return ok({
    lines: [`${instance} finishes its work and leaves.`],
    json: { instance, incarnation, leaving: true },
  });
}

function unreachable(instance: string, reason: string): Problem {
  return {
    exitCode: exitCodes.unreachable,
    lines: [`${instance} cannot be asked to leave: ${reason}`],
    json: { instance },
  };
}
