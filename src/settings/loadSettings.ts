import type { ValidateFunction } from 'ajv';
import { err, ok, type Result } from 'neverthrow';
import type Finding from '../core/Finding';
import nearestWord from '../core/nearestWord';
import validateEntrySettings from '../gen/validateEntrySettings';
import validateSidecarSettings from '../gen/validateSidecarSettings';
import checkLessThan from './checkLessThan';
import schemaFindings from './schemaFindings';
import type Settings from './Settings';
import sortFindings from './sortFindings';
import YamlSource from './YamlSource';

/**
 * Reads the settings of a process from YAML text and fills in the defaults. The file name is used only
 * in the findings, which list all mistakes in the file.
 */
export default function loadSettings(
  text: string,
  file: string,
): Result<Settings, readonly Finding[]> {
  return YamlSource.parse(text, file).andThen(check);
}

const validators: Readonly<Record<Settings['role'], ValidateFunction>> = {
  entry: validateEntrySettings,
  sidecar: validateSidecarSettings,
};

const ROLES = Object.keys(validators);

function check(source: YamlSource): Result<Settings, readonly Finding[]> {
  const found = roleOf(source.value);
  const role = intendedRole(found);
  const findings = [...source.findings];
  if (role === undefined || role !== found) findings.push(roleFinding(source, found));
  if (role) findings.push(...checkRole(source, role));
  if (findings.length > 0) return err(sortFindings(findings));
  return ok(withAdvertise(source.value as Settings));
}

function checkRole(source: YamlSource, role: Settings['role']): readonly Finding[] {
  const validate = validators[role];
  validate(source.value);
  const errors = validate.errors?.filter((error) => error.instancePath !== '/role');
  return [
    ...schemaFindings(source, errors),
    ...checkLessThan(source, [], 'heartbeat.intervalMs', 'heartbeat.suspectMs'),
    ...checkLessThan(source, [], 'heartbeat.suspectMs', 'heartbeat.closeMs'),
    ...checkLessThan(source, [], 'store.timeoutMs', 'store.leaseMs'),
  ];
}

function roleOf(value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return undefined;
  return Object.hasOwn(value, 'role') ? Reflect.get(value, 'role') : undefined;
}

/** The given role, or the one nearest to a mistyped role, so that the other settings can be checked too. */
function intendedRole(found: unknown): Settings['role'] | undefined {
  if (typeof found !== 'string') return undefined;
  return nearestWord(found, ROLES) as Settings['role'] | undefined;
}

function roleFinding(source: YamlSource, found: unknown): Finding {
  const expected = 'expected "entry" or "sidecar"';
  if (found === undefined) return source.findingMissing([], 'role', `found nothing, ${expected}`);
  return source.findingAt(['role'], `found ${JSON.stringify(found)}, ${expected}`);
}

function withAdvertise(settings: Settings): Settings {
  if (settings.role !== 'entry') return settings;
  return { ...settings, advertise: settings.advertise ?? settings.listen.peers };
}
