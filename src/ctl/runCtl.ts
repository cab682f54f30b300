import { cac, type CAC } from 'cac';
import type ExitCode from '../core/ExitCode';
import exitCodes from '../core/exitCodes';
import findUsageError from '../core/findUsageError';
import nearestWord from '../core/nearestWord';
import type Terminal from '../core/Terminal';
import version from '../core/version';
import commands from './commands';
import createContext from './createContext';

const NAME = 'magnoliakeelctl';

/**
 * Runs the command that is named on the command line and returns its exit code.
 * @param argv the arguments after the program name
 * @param context external dependencies of the commands
 */
export default async function runCtl(
  argv: readonly string[],
  terminal: Terminal,
  context = createContext(),
): Promise<ExitCode> {
  const cli = createCli();
  const { options } = cli.parse(['node', NAME, ...argv], { run: false });
  if (options.help || options.version) return exitCodes.ok;
  const command = commands[cli.matchedCommandName ?? ''];
  const mistake = command ? findUsageError(cli) : describeUnknownCommand(cli.args[0]);
  if (!command || mistake !== undefined) {
    terminal.warn(`${NAME}: ${mistake}\nRun \`${NAME} --help\` for its use.`);
    return exitCodes.usage;
  }
  const args = cli.args.map(String);
  return command.run({ args, options, json: options.json === true }, terminal, context);
}

const HELP_EXIT_CODES = [
  `  ${exitCodes.ok}  done`,
  `  ${exitCodes.internal}  internal error`,
  `  ${exitCodes.usage}  wrong command line`,
  `  ${exitCodes.badFile}  a file cannot be read or has mistakes`,
  `  ${exitCodes.conflict}  someone else changed the same thing meanwhile`,
  `  ${exitCodes.unreachable}  no process or store could be reached`,
  `  ${exitCodes.timedOut}  not done within the time allowed`,
  `  ${exitCodes.notFound}  what was asked for does not exist`,
].join('\n');

function createCli(): CAC {
  const cli = cac(NAME).option('--json', 'Print the result as JSON').version(version);
  for (const [name, { args, description, options }] of Object.entries(commands)) {
    const command = cli.command(`${name} ${args}`.trim(), description);
    for (const option of options) {
      command.option(option.flags, option.description, { default: option.default });
    }
  }
  return cli.help((sections) => [...sections, { title: 'Exit codes', body: HELP_EXIT_CODES }]);
}

function describeUnknownCommand(name: string | undefined): string {
  const known = Object.keys(commands);
  if (name === undefined) return `a command is missing, one of ${known.join(', ')}`;
  const nearest = nearestWord(String(name), known);
  const hint =
    nearest === undefined
      ? `, expected one of ${known.join(', ')}`
      : `, did you mean "${nearest}"?`;
  return `unknown command "${name}"${hint}`;
}
