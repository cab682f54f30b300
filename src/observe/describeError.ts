/** An error as fields of a log line. */
interface ErrorFields {
  readonly name: string;
  readonly message: string;
  readonly code?: unknown;
  readonly stack?: string;
  readonly cause?: ErrorFields;
}

/** Tells all of an error, its causes included, where a line of it as a field would be its message only. */
export default function describeError(error: unknown, depth = 0): ErrorFields {
  if (!(error instanceof Error)) return { name: typeof error, message: String(error) };
  const { name, message, stack, cause } = error;
  const { code } = error as { code?: unknown };
  const isDeep = cause === undefined || depth >= MOST_CAUSES;
  return {
    name,
    message,
    code,
    stack,
    cause: isDeep ? undefined : describeError(cause, depth + 1),
  };
}

/** Causes that are followed; a chain may lead back to itself. */
const MOST_CAUSES = 4;
