/** What identifies an incarnation of a backend server. */
interface Incarnation {
  readonly id: string;
  /** When it started, ms since 1970, if it reports that. */
  readonly born?: number;
}

/**
 * How one incarnation of a backend server relates to another: of another id, the same, or earlier or later
 * under the same id. One that does not report its start time counts as the same: then an id is one incarnation.
 * The first that reports it comes after all that did not.
 */
export default function compareIncarnations(
  one: Incarnation,
  other: Incarnation,
): 'other' | 'same' | 'earlier' | 'later' {
  if (one.id !== other.id) return 'other';
  if (one.born === undefined || one.born === other.born) return 'same';
  return other.born === undefined || one.born > other.born ? 'later' : 'earlier';
}
