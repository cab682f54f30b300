import type StoredManifest from './StoredManifest';

/** Formats a version with the time at which it was applied. */
export default function describeVersion(stored: StoredManifest | undefined): string {
  if (!stored) return 'no version yet';
  const rollback = stored.rollbackOf === undefined ? '' : `, a rollback to ${stored.rollbackOf}`;
  return `version ${stored.version} (applied at ${stored.appliedAt}${rollback})`;
}
