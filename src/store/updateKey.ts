import { err, ok, ResultAsync, type Result } from 'neverthrow';
import Backoff from '../core/Backoff';
import type KeyUpdate from './KeyUpdate';
import type StoreError from './StoreError';
import type StoreItem from './StoreItem';

const FIRST_DELAY_MS = 25;
const DELAY_LIMIT_MS = 1_000;

/**
 * Changes a key by compare-and-swap. The value is computed from the one read
 * and written only if the key has not changed since. After a conflict, or an
 * answer that did not come, the key is read again and the change decided anew.
 * Returns what the key then holds; an error means that it is not known whether
 * the last attempt took effect.
 */
export default function updateKey(
  change: KeyUpdate,
): ResultAsync<StoreItem | undefined, StoreError> {
  return new ResultAsync(attempt(change));
}

async function attempt(change: KeyUpdate): Promise<Result<StoreItem | undefined, StoreError>> {
  const backoff = Backoff.of(FIRST_DELAY_MS, DELAY_LIMIT_MS, change.random);
  let result = await once(change);
  for (let made = 1; made < change.maxAttempts && result.isErr(); made += 1) {
    await change.timer.sleep(backoff.next(), change.signal);
    if (change.signal?.aborted) return result;
    result = await once(change);
  }
  return result;
}

async function once(change: KeyUpdate): Promise<Result<StoreItem | undefined, StoreError>> {
  const { store, key, computeValue: decide } = change;
  const read = await store.get(key);
  if (read.isErr()) return err(read.error);
  const value = await decide(read.value);
  if (value === undefined) return ok(read.value);
  const written = await store.put(key, value, { expectRevision: read.value?.revision ?? 0 });
  return written.map((revision) => ({ key, value, revision }));
}
