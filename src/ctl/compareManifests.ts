import { isDeepStrictEqual } from 'node:util';
import type ManifestChange from './ManifestChange';

/** Returns the differences between two manifests. The order of services and teams does not matter. */
export default function compareManifests(before: object, after: object): ManifestChange[] {
  return compare([], before, after);
}

function compare(path: readonly string[], before: unknown, after: unknown): ManifestChange[] {
  if (isDeepStrictEqual(before, after)) return [];
  const dottedPath = path.join('.');
  if (before === undefined) return [{ kind: 'added', path: dottedPath, after }];
  if (after === undefined) return [{ kind: 'removed', path: dottedPath, before }];
  const [oldParts, newParts] = [partsByName(before), partsByName(after)];
  if (!oldParts || !newParts) return [{ kind: 'changed', path: dottedPath, before, after }];
  const names = [...new Set([...oldParts.keys(), ...newParts.keys()])];
  return names.flatMap((name) => compare([...path, name], oldParts.get(name), newParts.get(name)));
}

/** The values of a mapping by key, or the items of a list by name or else index; undefined for other values. */
function partsByName(value: unknown): ReadonlyMap<string, unknown> | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  if (!Array.isArray(value)) return new Map(Object.entries(value));
  return new Map(
    value.map((item, index) => [String((item as { name?: string }).name ?? index), item]),
  );
}
