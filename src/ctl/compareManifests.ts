import { isDeepStrictEqual } from 'node:util';
import type ManifestChange from './ManifestChange';

/** The differences between two manifests. The order of services and of teams makes none. */
export default function compareManifests(before: object, after: object): ManifestChange[] {
  return compare([], before, after);
}

function compare(path: readonly string[], before: unknown, after: unknown): ManifestChange[] {
  if (isDeepStrictEqual(before, after)) return [];
  const place = path.join('.');
  if (before === undefined) return [{ kind: 'added', path: place, after }];
  if (after === undefined) return [{ kind: 'removed', path: place, before }];
  const [one, other] = [keyed(before), keyed(after)];
  if (!one || !other) return [{ kind: 'changed', path: place, before, after }];
  const names = [...new Set([...one.keys(), ...other.keys()])];
  return names.flatMap((name) => compare([...path, name], one.get(name), other.get(name)));
}

/** The parts of a mapping, or of a list whose items have names; undefined for other values. */
function keyed(value: unknown): ReadonlyMap<string, unknown> | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  if (!Array.isArray(value)) return new Map(Object.entries(value));
  return new Map(value.map((item, at) => [String((item as { name?: string }).name ?? at), item]));
}
