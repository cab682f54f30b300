/** What tells lives of backend servers apart. */
interface Incarnation {
  readonly id: string;
  /** When it started, ms since 1970, if it tells. */
  readonly born?: number;
}

/**
 * How one life of a backend server stands to another: of another id, the same, or before or after it under the
 * same id. One that doesn't tell when it started is taken for the same: then an id is one life. The first that
 * tells comes after all that did not.
 */
export default function compareIncarnations(
  one: Incarnation,
  other: Incarnation,
): 'other' | 'same' | 'earlier' | 'later' {
  if (one.id !== other.id) return 'other';
  if (one.born === undefined || one.born === other.born) return 'same';
  return other.born === undefined || one.born > other.born ? 'later' : 'earlier';
}
