import type Manifest from '../settings/Manifest';

/** When a removed part of the manifest may be dropped from the store: wall clock, ms since the epoch. */
interface Retained {
  readonly until: number;
}

/** Services and teams that were removed from the manifest but may still have work in flight. */
export default interface RetiredParts {
  readonly services: readonly (Manifest['services'][number] & Retained)[];
  readonly teams: readonly (Manifest['teams'][number] & Retained)[];
}
