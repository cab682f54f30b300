import { inspect } from 'node:util';

/** An error as fields of a log line. */
interface ErrorFields {
  readonly name: string;
  readonly message: string;
  readonly code?: string | number;
  readonly stack?: string;
  readonly cause?: ErrorFields;
}

/**
 * Tells all of an error, its causes included, where a line of it as a field would be its message only.
 * Whatever was thrown is told as what a line can hold.
 */
export default function describeError(error: unknown, depth = 0): ErrorFields {
  if (!(error instanceof Error)) return { name: typeof error, message: inspect(error) };
  const { name, message, stack, cause } = error;
  const { code } = error as { code?: unknown };
  const isDeep = cause === undefined || depth >= MOST_CAUSES;
  return {
    name: textOf(name),
    message: textOf(message),
    stack: stack && textOf(stack),
    code: code === undefined || typeof code === 'number' ? code : textOf(code),
    cause: isDeep ? undefined : describeError(cause, depth + 1),
  };
}

function textOf(value: unknown): string {
  return typeof value === 'string' ? value : inspect(value);
}

/** Causes that are followed; a chain may lead back to itself. */
const MOST_CAUSES = 4;
