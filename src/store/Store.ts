import type { ResultAsync } from 'neverthrow';
import type PutOptions from './PutOptions';
import type StoreChanges from './StoreChanges';
import type StoreError from './StoreError';
import type StoreItem from './StoreItem';

/**
 * The platform's key-value service as this system uses it. Every method is one
 * counted call; a waiting watch counts as one.
 */
export default interface Store {
  get(key: string): ResultAsync<StoreItem | undefined, StoreError>;

  list(prefix: string): ResultAsync<StoreChanges, StoreError>;

  /** Writes a key and returns its new revision. */
  put(key: string, value: string, options?: PutOptions): ResultAsync<number, StoreError>;

  /** Deletes a key, where `expectRevision` is given only at that revision. */
  remove(key: string, expectRevision?: number): ResultAsync<void, StoreError>;

  /** Opens a lease and returns its id. */
  grantLease(ttlMs: number): ResultAsync<string, StoreError>;

  renewLease(lease: string): ResultAsync<void, StoreError>;

  /** Ends a lease and deletes its keys. */
  revokeLease(lease: string): ResultAsync<void, StoreError>;

  /** Waits for changes under the prefix after a revision; returns without any once the wait is over. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): ResultAsync<StoreChanges, StoreError>;
}
