import type Finding from '../core/Finding';
import type YamlSource from './YamlSource';

/**
 * Checks two numbers of a document of which the first must be smaller. The paths are of keys below
 * the base path. Numbers that are missing or no numbers are left to the schema.
 */
export default function findDisorder(
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
