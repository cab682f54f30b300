import { err, ok, type Result } from 'neverthrow';
import type Finding from '../core/Finding';
import validateManifest from '../gen/validateManifest';
import checkLessThan from './checkLessThan';
import type Manifest from './Manifest';
import schemaFindings from './schemaFindings';
import sortFindings from './sortFindings';
import YamlSource from './YamlSource';

/**
 * Reads a manifest from YAML (or JSON) text and fills in the defaults. The file name is used only in
 * the findings, which list all mistakes in the file.
 */
export default function loadManifest(
  text: string,
  file: string,
): Result<Manifest, readonly Finding[]> {
  return YamlSource.parse(text, file).andThen(check);
}

function check(source: YamlSource): Result<Manifest, readonly Finding[]> {
  validateManifest(source.value);
  const findings = [
    ...source.findings,
    ...schemaFindings(source, validateManifest.errors),
    ...findDuplicates(source, 'services'),
    ...findDuplicates(source, 'teams'),
    ...itemsOf(source, 'services').flatMap((_, index) => checkServiceLimits(source, index)),
  ];
  if (findings.length > 0) return err(sortFindings(findings));
  return ok(source.value as Manifest);
}

function checkServiceLimits(source: YamlSource, index: number): readonly Finding[] {
  const base = ['services', String(index)];
  return [
    ...checkLessThan(source, base, 'timeoutMs', 'jobTimeoutMs'),
    ...checkLessThan(source, base, 'jobTimeoutMs', 'retentionMs'),
  ];
}

/** Findings for each item whose name an earlier item of the list already has. */
function findDuplicates(source: YamlSource, list: 'services' | 'teams'): readonly Finding[] {
  const names = itemsOf(source, list).map(nameOf);
  return names.flatMap((name, index) => {
    const first = names.indexOf(name);
    if (name === undefined || first === index) return [];
    const message = `found ${JSON.stringify(name)} again, expected a name other than that of ${list}.${first}`;
    return [source.findingAt([list, String(index), 'name'], message)];
  });
}

function itemsOf(source: YamlSource, list: 'services' | 'teams'): readonly unknown[] {
  const root = source.value;
  if (typeof root !== 'object' || root === null) return [];
  const items: unknown = Reflect.get(root, list);
  return Array.isArray(items) ? items : [];
}

function nameOf(item: unknown): string | undefined {
  if (typeof item !== 'object' || item === null) return undefined;
  const name: unknown = Reflect.get(item, 'name');
  return typeof name === 'string' ? name : undefined;
}
