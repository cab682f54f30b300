import type { ResultAsync } from 'neverthrow';
import type StoreError from '../../src/store/StoreError';

/** What a store call gave, as one line: its value, or the kind of its error. */
export default async function outcome<T>(call: ResultAsync<T, StoreError>): Promise<string> {
  return call.match(text, ({ kind }) => kind);
}

function text(value: unknown): string {
  return JSON.stringify(value)?.replaceAll('"', '') ?? 'nothing';
}
