import type ExitCode from '../core/ExitCode';
import type Terminal from '../core/Terminal';
import type CommandInput from './CommandInput';
import type CommandOption from './CommandOption';
import type CtlContext from './CtlContext';

/** One command of `magnoliakeelctl`. */
export default interface Command {
  /** Arguments as the help shows them: `<file>` is required, `[file]` is not. */
  readonly args: string;
  readonly description: string;
  readonly options: readonly CommandOption[];
  run(input: CommandInput, terminal: Terminal, context: CtlContext): Promise<ExitCode>;
}
