import type ManifestChange from './ManifestChange';

/** Formats differences as text: `+` marks an addition, `-` a removal and `~` a changed value. */
export default function formatChanges(changes: readonly ManifestChange[]): string[] {
  return changes.flatMap(formatChange);
}

function formatChange({ kind, path, before, after }: ManifestChange): string[] {
  if (kind === 'changed') return [`  ~ ${path}: ${formatValue(before)} -> ${formatValue(after)}`];
  if (kind === 'removed')
    return [`  - ${path}${isMapping(before) ? '' : `: ${formatValue(before)}`}`];
  if (!isMapping(after)) return [`  + ${path}: ${formatValue(after)}`];
  const fields = Object.entries(after).filter(([name]) => name !== 'name');
  return [`  + ${path}`, ...fields.map(([name, value]) => `      ${name}: ${formatValue(value)}`)];
}

function isMapping(value: unknown): value is object {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function formatValue(value: unknown): string {
  if (!isMapping(value)) return JSON.stringify(value);
  const fields = Object.entries(value).map(([name, field]) => `${name} ${formatValue(field)}`);
  return `{ ${fields.join(', ')} }`;
}
