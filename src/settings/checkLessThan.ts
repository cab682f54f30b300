import type Finding from '../core/Finding';
import type YamlSource from './YamlSource';

/**
 * Checks that the first of two numbers in a document is less than the second. The paths are relative to
 * the base path. Values that are missing or are not numbers are left to the schema check.
 */
export default function checkLessThan(
  source: YamlSource,
  base: readonly string[],
  smaller: string,
  larger: string,
): readonly Finding[] {
  const smallerPath = [...base, ...smaller.split('.')];
  const largerPath = [...base, ...larger.split('.')];
  const low = valueAt(source.value, smallerPath);
  const high = valueAt(source.value, largerPath);
  if (typeof low !== 'number' || typeof high !== 'number' || low < high) return [];
  const message = `found ${high}, expected more than ${smaller}, which is ${low}`;
  return [source.findingAt(largerPath, message)];
}

function valueAt(root: unknown, path: readonly string[]): unknown {
  return path.reduce<unknown>((value, key) => {
    if (typeof value !== 'object' || value === null) return undefined;
    return Object.hasOwn(value, key) ? Reflect.get(value, key) : undefined;
  }, root);
}
