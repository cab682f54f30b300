import type { ResultAsync } from 'neverthrow';
import type StoreChanges from './StoreChanges';
import type WatchError from './WatchError';

/** What of the key-value service it takes to follow the keys under a prefix. */
export default interface WatchableStore {
  /** All keys with the prefix; the answer may be waited for so long, in ms, or as long as is usual. */
  list(prefix: string, answerMs?: number): ResultAsync<StoreChanges, WatchError>;

  /** Waits for changes under the prefix after a revision; returns without any once the wait is over. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): ResultAsync<StoreChanges, WatchError>;
}
