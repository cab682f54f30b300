import type StoreItem from './StoreItem';

/** Keys under a prefix, as they stand or as they changed since a revision. */
export default interface StoreChanges {
  /** The store's revision that this reaches up to; a watch goes on from here. */
  readonly revision: number;
  readonly items: readonly StoreItem[];
  /** Keys deleted since the revision asked for; empty for a listing. */
  readonly deleted: readonly string[];
}
