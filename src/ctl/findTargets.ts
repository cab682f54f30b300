import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import type Finding from '../core/Finding';
import nearestWord from '../core/nearestWord';
import formatFinding from '../settings/formatFinding';
import readText from '../settings/readText';
import YamlSource from '../settings/YamlSource';
import type CommandInput from './CommandInput';
import type CtlContext from './CtlContext';
import type CommandFailure from './CommandFailure';
import type Targets from './Targets';

/**
 * Finds the addresses that a command needs. Options take precedence over the
 * file given with --targets, and that file over the environment.
 */
export default async function findTargets(
  { options }: CommandInput,
  { environment }: CtlContext,
  needs: readonly ('store' | 'entry')[],
): Promise<Result<Targets, CommandFailure>> {
  const file = await readTargets(options.targets);
  if (file.isErr()) return err(file.error);
  const store =
    textOrUndefined(options.store) ?? file.value.store ?? environment.MAGNOLIAKEEL_STORE;
  const listed = textOrUndefined(options.entry)?.split(',') ?? file.value.entries;
  const entries = listed ?? environment.MAGNOLIAKEEL_ENTRY?.split(',') ?? [];
  const given = { store: store ? [store] : [], entry: entries.filter((entry) => entry !== '') };
  const missing = needs.find((need) => given[need].length === 0);
  if (missing) return err(usageFailure(MISSING_TARGET[missing]));
  const malformed = needs
    .flatMap((need) => given[need])
    .find((address) => !ADDRESS_PATTERN.test(address));
  if (malformed !== undefined)
    return err(usageFailure(`found the address "${malformed}", expected "ip:port"`));
  return ok({ store, entries: given.entry });
}

const ADDRESS_PATTERN = /^([\d.]+|\[[\da-fA-F:.]+\]):\d{1,5}$/;

const MISSING_TARGET = {
  store:
    "the store's address is missing: give --store ip:port, --targets <file> or MAGNOLIAKEEL_STORE",
  entry:
    'the address of an entry is missing: give --entry ip:port, --targets <file> or MAGNOLIAKEEL_ENTRY',
} as const;

const TARGETS_FILE_KEYS = ['store', 'entries'];

type TargetsFile = Partial<Targets>;

async function readTargets(file: unknown): Promise<Result<TargetsFile, CommandFailure>> {
  if (typeof file !== 'string') return ok({});
  const source = await readText(file).andThen((content) => YamlSource.parse(content, file));
  return source.andThen(checkTargets).mapErr((findings) => ({
    exitCode: exitCodes.badFile,
    lines: findings.map(formatFinding),
    json: { findings },
  }));
}

function checkTargets(source: YamlSource): Result<TargetsFile, readonly Finding[]> {
  const { value } = source;
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return err([source.findingAt([], 'expected a mapping with the keys store and entries')]);
  }
  const findings = [
    ...source.findings,
    ...Object.keys(value).flatMap((key) => unknownKeyFindings(source, key)),
  ];
  const { store, entries } = value as { store?: unknown; entries?: unknown };
  if (store !== undefined && typeof store !== 'string') {
    findings.push(source.findingAt(['store'], 'expected an address "ip:port"'));
  }
  if (entries !== undefined && !isStringList(entries)) {
    findings.push(source.findingAt(['entries'], 'expected a list of addresses "ip:port"'));
  }
  return findings.length > 0 ? err(findings) : ok(value as TargetsFile);
}

function unknownKeyFindings(source: YamlSource, key: string): Finding[] {
  if (TARGETS_FILE_KEYS.includes(key)) return [];
  const nearest = nearestWord(key, TARGETS_FILE_KEYS);
  const hint = nearest === undefined ? 'expected store or entries' : `did you mean "${nearest}"?`;
  return [source.findingAtKey([key], `found an unknown key, ${hint}`)];
}

function isStringList(value: unknown): value is string[] {
  return Array.isArray(value) && value.every((item) => typeof item === 'string');
}

function textOrUndefined(value: unknown): string | undefined {
  return value === undefined ? undefined : String(value);
}

function usageFailure(reason: string): CommandFailure {
  return { exitCode: exitCodes.usage, lines: [reason] };
}
