import compareIncarnations from './compareIncarnations';

interface Incarnation {
  readonly id: string;
  readonly born?: number;
}

interface EndedIncarnation extends Incarnation {
  readonly token: number;
  /** Reported start time of the incarnation that is known to have followed. */
  readonly successorBorn: number | undefined;
}

/**
 * Incarnations of backend servers that are known to have ended, the latest of each id. They are ordered by
 * start time, unless one has answered in place of the other.
 */
export default class EndedIncarnations {
  private readonly incarnations = new Map<string, EndedIncarnation>();

  private constructor() {}

  /** Creates an empty set. */
  static create(): EndedIncarnations {
    return new EndedIncarnations();
  }

  /**
   * Adds an incarnation with the highest fencing token that was sent to it, and the reported start time of the
   * incarnation that has answered in its place.
   */
  add(incarnation: Incarnation, token = 0, successorBorn?: number): void {
    const { id } = incarnation;
    const known = this.incarnations.get(id);
    const isOlder =
      known &&
      !isSuccessor(incarnation, known) &&
      compareIncarnations(incarnation, known) === 'earlier';
    const { born } = isOlder ? known : incarnation;
    const knownSuccessor = isOlder ? known.successorBorn : successorBorn;
    this.incarnations.delete(id);
    this.incarnations.set(id, {
      id,
      born,
      token: Math.max(token, known?.token ?? 0),
      successorBorn: knownSuccessor === born ? undefined : knownSuccessor,
    });
    const [oldest] = this.incarnations.keys();
    if (this.incarnations.size > MAX_REMEMBERED && oldest !== undefined)
      this.incarnations.delete(oldest);
  }

  /** Whether an incarnation is one of them, or came before one of them. */
  has(incarnation: Incarnation): boolean {
    const ended = this.incarnations.get(incarnation.id);
    return (
      ended !== undefined &&
      !isSuccessor(incarnation, ended) &&
      compareIncarnations(incarnation, ended) !== 'later'
    );
  }

  /** The highest fencing token sent to any incarnation of the id; 0 for none. */
  tokenOf(id: string): number {
    return this.incarnations.get(id)?.token ?? 0;
  }
}

function isSuccessor({ born }: Incarnation, { successorBorn }: EndedIncarnation): boolean {
  return born !== undefined && born === successorBorn;
}

/** Incarnations to remember; heartbeats are late by seconds, in which only a few can end. */
const MAX_REMEMBERED = 64;
