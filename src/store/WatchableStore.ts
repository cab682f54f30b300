import type { ResultAsync } from 'neverthrow';
import type StoreChanges from './StoreChanges';
import type WatchError from './WatchError';

/** The calls of the key-value service that are needed to watch the keys under a prefix. */
export default interface WatchableStore {
  /** Lists all keys with the prefix. `answerMs` replaces the usual time-out of the call, ms. */
  list(prefix: string, answerMs?: number): ResultAsync<StoreChanges, WatchError>;

  /** Long-polls for changes under the prefix after a revision; returns no changes if there are none within `waitMs`. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): ResultAsync<StoreChanges, WatchError>;
}
