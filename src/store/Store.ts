import type { ResultAsync } from 'neverthrow';
import type PutOptions from './PutOptions';
import type StoreChanges from './StoreChanges';
import type StoreError from './StoreError';
import type StoreItem from './StoreItem';

/**
 * The platform's key-value service as this system uses it. Every method call counts
 * as one metered call of the service, a long-polling watch as well.
 */
export default interface Store {
  get(key: string): ResultAsync<StoreItem | undefined, StoreError>;

  list(prefix: string): ResultAsync<StoreChanges, StoreError>;

  /** Writes a key and returns its new revision. */
  put(key: string, value: string, options?: PutOptions): ResultAsync<number, StoreError>;

  /** Deletes a key. If `expectRevision` is given, the key is deleted only at that revision. */
  remove(key: string, expectRevision?: number): ResultAsync<void, StoreError>;

  /** Grants a lease and returns its id. */
  grantLease(ttlMs: number): ResultAsync<string, StoreError>;

  renewLease(lease: string): ResultAsync<void, StoreError>;

  /** Revokes a lease and deletes its keys. */
  revokeLease(lease: string): ResultAsync<void, StoreError>;

  /** Long-polls for changes under the prefix after a revision; returns no changes if there are none within `waitMs`. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): ResultAsync<StoreChanges, StoreError>;
}
