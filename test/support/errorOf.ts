import type { Result } from 'neverthrow';

/** The error of a result that must be one; throws otherwise. */
export default function errorOf<T, E>(result: Result<T, E>): E {
  if (result.isErr()) return result.error;
  throw new Error('expected an error, got a value');
}
