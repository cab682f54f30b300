import { err, ok, ResultAsync, type Result } from 'neverthrow';
import Backoff from '../core/Backoff';
import type KeyUpdate from './KeyUpdate';
import type StoreError from './StoreError';
import type StoreItem from './StoreItem';

const FIRST_RETRY_DELAY_MS = 25;
const MAX_RETRY_DELAY_MS = 1_000;

/**
 * Updates a key by compare-and-swap. The new value is computed from the one read
 * and written only if the key has not changed since. After a conflict or a missing
 * answer, the key is read again and the value computed again. Returns the key's
 * item afterwards; an error means that it is unknown whether the last attempt
 * took effect.
 */
export default function updateKey(
  update: KeyUpdate,
): ResultAsync<StoreItem | undefined, StoreError> {
  return new ResultAsync(updateWithRetries(update));
}

async function updateWithRetries(
  update: KeyUpdate,
): Promise<Result<StoreItem | undefined, StoreError>> {
  const backoff = Backoff.of(FIRST_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS, update.random);
  let result = await updateOnce(update);
  for (let made = 1; made < update.maxAttempts && result.isErr(); made += 1) {
    await update.timer.sleep(backoff.next(), update.signal);
    if (update.signal?.aborted) return result;
    result = await updateOnce(update);
  }
  return result;
}

async function updateOnce(update: KeyUpdate): Promise<Result<StoreItem | undefined, StoreError>> {
  const { store, key, computeValue } = update;
  const read = await store.get(key);
  if (read.isErr()) return err(read.error);
  const value = await computeValue(read.value);
  if (value === undefined) return ok(read.value);
  const written = await store.put(key, value, { expectRevision: read.value?.revision ?? 0 });
  return written.map((revision) => ({ key, value, revision }));
}
