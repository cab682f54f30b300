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
 * Converts an error, its causes included, into fields for a log line; an error that is logged as a field
 * would otherwise appear as its message only. Any thrown value becomes one that JSON can hold.
 */
export default function describeError(error: unknown, depth = 0): ErrorFields {
  if (!(error instanceof Error)) return { name: typeof error, message: inspect(error) };
  const { name, message, stack, cause } = error;
  const { code } = error as { code?: unknown };
  const isLastCause = cause === undefined || depth >= MAX_CAUSES;
  return {
    name: textOf(name),
    message: textOf(message),
    stack: stack && textOf(stack),
    code: code === undefined || typeof code === 'number' ? code : textOf(code),
    cause: isLastCause ? undefined : describeError(cause, depth + 1),
  };
}

function textOf(value: unknown): string {
  return typeof value === 'string' ? value : inspect(value);
}

/** Most causes that are followed, since a chain of causes may be circular. */
const MAX_CAUSES = 4;
