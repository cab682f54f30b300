import type ManifestChange from './ManifestChange';

/** Differences for people, `+` for what comes, `-` for what goes and `~` for what changes. */
export default function formatChanges(changes: readonly ManifestChange[]): string[] {
  return changes.flatMap(formatChange);
}

function formatChange({ kind, path, before, after }: ManifestChange): string[] {
  if (kind === 'changed') return [`  ~ ${path}: ${show(before)} -> ${show(after)}`];
  if (kind === 'removed') return [`  - ${path}${isWhole(before) ? '' : `: ${show(before)}`}`];
  if (!isWhole(after)) return [`  + ${path}: ${show(after)}`];
  const fields = Object.entries(after).filter(([name]) => name !== 'name');
  return [`  + ${path}`, ...fields.map(([name, value]) => `      ${name}: ${show(value)}`)];
}

function isWhole(value: unknown): value is object {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function show(value: unknown): string {
  if (!isWhole(value)) return JSON.stringify(value);
  const fields = Object.entries(value).map(([name, field]) => `${name} ${show(field)}`);
  return `{ ${fields.join(', ')} }`;
}
