import type StoreItem from './StoreItem';

/** The keys under a prefix: all of them (list), or the changes since a revision (watch). */
export default interface StoreChanges {
  /** The store's revision up to which changes are included; the next watch starts from it. */
  readonly revision: number;
  readonly items: readonly StoreItem[];
  /** Keys deleted since the requested revision; empty for a list. */
  readonly deleted: readonly string[];
}
