import type { ResultAsync } from 'neverthrow';
import type StoreError from '../../src/store/StoreError';

/** What a store call gave: its value, or the kind of its error. */
export default async function outcome<T>(
  call: ResultAsync<T, StoreError>,
): Promise<T | StoreError['kind']> {
  return call.match<T | StoreError['kind'], T | StoreError['kind']>(
    (value) => value,
    ({ kind }) => kind,
  );
}
