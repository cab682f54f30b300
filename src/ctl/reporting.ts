import type { Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import type Command from './Command';
import type CommandInput from './CommandInput';
import type CtlContext from './CtlContext';
import type Problem from './Problem';
import type Report from './Report';

/** Makes a command's `run` of what it does: prints its report or its problem, as text or JSON. */
export default function reporting(
  work: (input: CommandInput, context: CtlContext) => Promise<Result<Report, Problem>>,
): Command['run'] {
  return async (input, terminal, context) => {
    const result = await work(input, context);
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
