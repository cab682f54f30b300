import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import type Finding from '../core/Finding';
import nearestWord from '../core/nearestWord';
import formatFinding from '../settings/formatFinding';
import readText from '../settings/readText';
import YamlSource from '../settings/YamlSource';
import type CommandInput from './CommandInput';
import type CtlContext from './CtlContext';
import type Problem from './Problem';
import type Targets from './Targets';

/**
 * Finds the addresses that a command needs: options come first, then the file
 * of --targets, then the environment.
 */
export default async function findTargets(
  { options }: CommandInput,
  { environment }: CtlContext,
  needs: readonly ('store' | 'entry')[],
): Promise<Result<Targets, Problem>> {
  const file = await readTargets(options.targets);
  if (file.isErr()) return err(file.error);
  const store = text(options.store) ?? file.value.store ?? environment.MAGNOLIAKEEL_STORE;
  const listed = text(options.entry)?.split(',') ?? file.value.entries;
  const entries = listed ?? environment.MAGNOLIAKEEL_ENTRY?.split(',') ?? [];
  const given = { store: store ? [store] : [], entry: entries.filter((entry) => entry !== '') };
  const missing = needs.find((need) => given[need].length === 0);
  if (missing) return err(usage(MISSING[missing]));
  const wrong = needs.flatMap((need) => given[need]).find((address) => !ADDRESS.test(address));
  if (wrong !== undefined) return err(usage(`found the address "${wrong}", expected "ip:port"`));
  return ok({ store, entries: given.entry });
}

const ADDRESS = /^([\d.]+|\[[\da-fA-F:.]+\]):\d{1,5}$/;

const MISSING = {
  store:
    "the store's address is missing: give --store ip:port, --targets <file> or MAGNOLIAKEEL_STORE",
  entry:
    'the address of an entry is missing: give --entry ip:port, --targets <file> or MAGNOLIAKEEL_ENTRY',
} as const;

const KEYS = ['store', 'entries'];

type TargetsFile = Partial<Targets>;

async function readTargets(file: unknown): Promise<Result<TargetsFile, Problem>> {
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
    ...Object.keys(value).flatMap((key) => wrongKey(source, key)),
  ];
  const { store, entries } = value as { store?: unknown; entries?: unknown };
  if (store !== undefined && typeof store !== 'string') {
    findings.push(source.findingAt(['store'], 'expected an address "ip:port"'));
  }
  if (entries !== undefined && !isTexts(entries)) {
    findings.push(source.findingAt(['entries'], 'expected a list of addresses "ip:port"'));
  }
  return findings.length > 0 ? err(findings) : ok(value as TargetsFile);
}

function wrongKey(source: YamlSource, key: string): Finding[] {
  if (KEYS.includes(key)) return [];
  const near = nearestWord(key, KEYS);
  const hint = near === undefined ? 'expected store or entries' : `did you mean "${near}"?`;
  return [source.findingAtKey([key], `found an unknown key, ${hint}`)];
}

function isTexts(value: unknown): value is string[] {
  return Array.isArray(value) && value.every((item) => typeof item === 'string');
}

function text(value: unknown): string | undefined {
  return value === undefined ? undefined : String(value);
}

function usage(reason: string): Problem {
  return { exitCode: exitCodes.usage, lines: [reason] };
}
