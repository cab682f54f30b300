import type { Result } from 'neverthrow';

/** The value of a result that must be one; throws what the error says otherwise. */
export default function valueOf<T, E>(result: Result<T, E>): T {
  if (result.isOk()) return result.value;
  throw new Error(`expected a value, got ${JSON.stringify(result.error)}`);
}
