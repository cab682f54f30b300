import type { Result } from 'neverthrow';
import type ExitCode from '../core/ExitCode';
import exitCodes from '../core/exitCodes';
import type Finding from '../core/Finding';
import type Terminal from '../core/Terminal';
import formatFinding from '../settings/formatFinding';
import loadManifest from '../settings/loadManifest';
import loadSettings from '../settings/loadSettings';
import readText from '../settings/readText';
import YamlSource from '../settings/YamlSource';
import type Command from './Command';
import type CommandInput from './CommandInput';

/** Checks a settings file or a manifest, without connecting to the system. */
const validate: Command = {
  args: '<file>',
  description: 'Check a settings file or a manifest and print every mistake with its place',
  options: [],
  run,
};

export default validate;

type Load = (text: string, file: string) => Result<unknown, readonly Finding[]>;

const loaders = {
  settings: loadSettings,
  manifest: loadManifest,
} as const satisfies Readonly<Record<string, Load>>;

type Kind = keyof typeof loaders;

interface CheckResult {
  readonly kind: Kind | 'unknown';
  readonly findings: readonly Finding[];
}

async function run(input: CommandInput, terminal: Terminal): Promise<ExitCode> {
  const file = input.args[0] ?? '';
  const checked = await readText(file).match(
    (text) => checkText(text, file),
    (findings): CheckResult => ({ kind: 'unknown', findings }),
  );
  const valid = checked.findings.length === 0;
  if (input.json) terminal.print(JSON.stringify({ file, valid, ...checked }));
  else if (valid) terminal.print(`${file}: ${checked.kind}, no mistakes found`);
  else checked.findings.forEach((finding) => terminal.warn(formatFinding(finding)));
  return valid ? exitCodes.ok : exitCodes.badFile;
}

function checkText(text: string, file: string): CheckResult {
  const kind = kindOf(text, file);
  const findings = loaders[kind](text, file).match(
    () => [],
    (found) => found,
  );
  return { kind, findings };
}

/** Settings have a role and addresses to listen on; anything else is treated as a manifest. */
function kindOf(text: string, file: string): Kind {
  const value = YamlSource.parse(text, file).unwrapOr(undefined)?.value;
  if (typeof value !== 'object' || value === null) return 'manifest';
  return 'role' in value || 'listen' in value ? 'settings' : 'manifest';
}
