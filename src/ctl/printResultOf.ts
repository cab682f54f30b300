import type { Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import type Command from './Command';
import type CommandInput from './CommandInput';
import type CtlContext from './CtlContext';
import type CommandFailure from './CommandFailure';
import type CommandReport from './CommandReport';

/** Creates a command's `run` from a function that returns its result: prints the report or the failure, as text or JSON. */
export default function printResultOf(
  execute: (
    input: CommandInput,
    context: CtlContext,
  ) => Promise<Result<CommandReport, CommandFailure>>,
): Command['run'] {
  return async (input, terminal, context) => {
    const result = await execute(input, context);
    if (result.isOk()) {
      const { lines, json, exitCode = exitCodes.ok } = result.value;
      if (input.json) terminal.print(JSON.stringify(json));
      else lines.forEach((line) => terminal.print(line));
      return exitCode;
    }
    const { lines, json, exitCode } = result.error;
    const reason = lines[0] ?? '';
    if (input.json) terminal.print(JSON.stringify({ exitCode, reason, ...json }));
    else lines.forEach((line) => terminal.warn(line));
    return exitCode;
  };
}
