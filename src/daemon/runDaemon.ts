import { cac, type CAC } from 'cac';
import type ExitCode from '../core/ExitCode';
import exitCodes from '../core/exitCodes';
import findUsageError from '../core/findUsageError';
import type Terminal from '../core/Terminal';
import version from '../core/version';
import createLogger from '../observe/createLogger';
import type UncaughtErrorHandler from '../observe/UncaughtErrorHandler';
import formatFinding from '../settings/formatFinding';
import loadSettings from '../settings/loadSettings';
import readText from '../settings/readText';
import type Settings from '../settings/Settings';
import roles from './roles';
import type RunRole from './RunRole';
import stopReasons from './stopReasons';

const NAME = 'magnoliakeeld';

/**
 * Runs the daemon with the given command line. Aborting the signal shuts it down gracefully.
 * @param argv the arguments after the program's name
 * @param faults the handler of uncaught errors, if the process has one
 */
export default async function runDaemon(
  argv: readonly string[],
  terminal: Terminal,
  signal: AbortSignal,
  faults?: UncaughtErrorHandler,
): Promise<ExitCode> {
  const cli = createCli();
  const { options } = cli.parse(['node', NAME, ...argv], { run: false });
  if (options.help || options.version) return exitCodes.ok;
  const mistake = findUsageError(cli) ?? findMissingConfig(options);
  if (mistake !== undefined) {
    terminal.warn(`${NAME}: ${mistake}\nRun \`${NAME} --help\` for its use.`);
    return exitCodes.usage;
  }
  const file = String(options.config);
  const loaded = await readText(file).andThen((text) => loadSettings(text, file));
  if (loaded.isErr()) {
    loaded.error.forEach((finding) => terminal.warn(formatFinding(finding)));
    return exitCodes.badFile;
  }
  if (options.check) {
    terminal.print(`${file}: settings of role ${loaded.value.role}, no mistakes found`);
    return exitCodes.ok;
  }
  return startRole(loaded.value, terminal, signal, faults);
}

const HELP_EXIT_CODES = [
  `  ${exitCodes.ok}  stopped as asked, or --check found no mistakes`,
  `  ${exitCodes.internal}  internal error, or errors came again and again`,
  `  ${exitCodes.usage}  wrong command line`,
  `  ${exitCodes.badFile}  the settings cannot be read or have mistakes`,
  `  ${exitCodes.cannotListen}  an address cannot be listened on`,
  `  ${exitCodes.removed}  the other entries removed this one, as after a long pause; start it again`,
].join('\n');

const HELP_SIGNALS = [
  '  SIGTERM, SIGINT  stop in good order: nothing new is taken, what runs is finished, within stop.drainMs',
  '  a second one     end at once',
].join('\n');

function createCli(): CAC {
  const cli = cac(NAME)
    .usage('--config <file> [--check]')
    .option('--config <file>', 'Settings of this process, in YAML')
    .option('--check', 'Check the settings, print what is wrong and exit')
    .version(version);
  return cli.help((sections) => [
    ...sections,
    { title: 'Signals', body: HELP_SIGNALS },
    { title: 'Exit codes', body: HELP_EXIT_CODES },
  ]);
}

function findMissingConfig(options: Readonly<Record<string, unknown>>): string | undefined {
  return options.config === undefined ? 'the option --config is missing' : undefined;
}

async function startRole(
  settings: Settings,
  terminal: Terminal,
  signal: AbortSignal,
  faults?: UncaughtErrorHandler,
): Promise<ExitCode> {
  const run = roles[settings.role] as RunRole<Settings> | undefined;
  if (!run) {
    terminal.warn(`${NAME}: this build cannot run the role ${settings.role}`);
    return exitCodes.internal;
  }
  const ended = await run(settings, signal, faults);
  const hasFaults = signal.reason === stopReasons.faults;
  const exitCode = hasFaults ? exitCodes.internal : ended;
  const reason = hasFaults ? stopReasons.faults : endReasons[ended];
  const log = createLogger(settings.log.level);
  const write = exitCode === exitCodes.ok ? log.info : log.error;
  write('the process ends', { reason, exitCode });
  return exitCode;
}

/** Reasons for the end of a role, by its exit code. */
const endReasons: Readonly<Partial<Record<ExitCode, string>>> = {
  [exitCodes.ok]: stopReasons.planned,
  [exitCodes.badFile]: 'the certificates are not usable',
  [exitCodes.cannotListen]: 'an address is not to be had',
  [exitCodes.removed]: 'the other entries removed this one',
};
