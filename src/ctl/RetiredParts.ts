import type Manifest from '../settings/Manifest';

/** Until when a removed part of the manifest is kept, wall clock in milliseconds. */
interface Kept {
  readonly until: number;
}

/** Services and teams that were removed from the manifest while work of theirs may be in flight. */
export default interface RetiredParts {
  readonly services: readonly (Manifest['services'][number] & Kept)[];
  readonly teams: readonly (Manifest['teams'][number] & Kept)[];
}
