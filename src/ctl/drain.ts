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
import type CommandFailure from './CommandFailure';
import readNumber from './readNumber';
import type CommandReport from './CommandReport';
import printResultOf from './printResultOf';
import targetOptions from './targetOptions';
import waitUntilGone from './waitUntilGone';

/** Makes a process shut down gracefully. */
const drain: Command = {
  args: '<instance>',
  description: 'Have an entry or a sidecar finish its work and leave',
  options: [
    targetOptions.entry,
    targetOptions.targets,
    { flags: '--wait', description: 'End when the process is gone from the system' },
    limitOption,
  ],
  run: printResultOf(async (input, context) => {
    const targets = await findTargets(input, context, ['entry']);
    if (targets.isErr()) return err(targets.error);
    const limit = readNumber('--limit', input.options.limit);
    if (limit.isErr()) return err(limit.error);
    const { entries } = targets.value;
    const found = await fetchStatus(entries, context);
    if (found.isErr()) return err(found.error);
    const process = findProcess(found.value, input.args[0] ?? '');
    if (process.isErr()) return err(process.error);
    const requested = await requestDrain(process.value, context);
    if (requested.isErr() || input.options.wait !== true) return requested;
    return waitUntilGone(process.value, entries, limit.value * 1000, context);
  }),
};

export default drain;

function findProcess(system: SystemStatus, name: string): Result<ProcessStatus, CommandFailure> {
  const incarnations = system.processes.filter(({ instance }) => instance === name);
  const incarnation = incarnations.find(({ reachable }) => reachable) ?? incarnations[0];
  if (incarnation) return ok(incarnation);
  const known = system.processes.map(({ instance }) => instance);
  const nearest = nearestWord(name, known);
  const hint =
    nearest === undefined ? `known are ${known.join(', ')}` : `did you mean "${nearest}"?`;
  return err({
    exitCode: exitCodes.notFound,
    lines: [`there is no process "${name}"; ${hint}`],
    json: { known },
  });
}

async function requestDrain(
  { instance, incarnation, operators }: ProcessStatus,
  context: CtlContext,
): Promise<Result<CommandReport, CommandFailure>> {
  if (operators === '') return err(drainFailure(instance, "its operators' address is not known"));
  const answer = await context.operators.request('POST', operators, '/v1/drain');
  if (answer.isErr()) return err(drainFailure(instance, answer.error));
  if (answer.value.status !== 202) {
    return err(drainFailure(instance, JSON.stringify(answer.value.body)));
  }
  return ok({
    lines: [`${instance} finishes its work and leaves.`],
    json: { instance, incarnation, leaving: true },
  });
}

function drainFailure(instance: string, reason: string): CommandFailure {
  return {
    exitCode: exitCodes.unreachable,
    lines: [`${instance} cannot be asked to leave: ${reason}`],
    json: { instance },
  };
}
