import compareIncarnations from './compareIncarnations';

interface Incarnation {
  readonly id: string;
  readonly born?: number;
}

interface EndedIncarnation extends Incarnation {
  readonly token: number;
  /** When the life started that is known to have followed, as that tells. */
  readonly successorBorn: number | undefined;
}

/**
 * Lives of backend servers that are known to have ended, the newest of each id. Which is newer is told by when they
 * started, unless one has answered in place of the other.
 */
export default class EndedIncarnations {
  private readonly incarnations = new Map<string, EndedIncarnation>();

  private constructor() {}

  /** Creates one that knows of none. */
  static create(): EndedIncarnations {
    return new EndedIncarnations();
  }

  /**
   * Remembers a life, with the highest fencing token that was sent there, and when the life started that has
   * answered in its place, as that tells.
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

  /** Whether a life is one of them, or was there before one of them. */
  has(incarnation: Incarnation): boolean {
    const ended = this.incarnations.get(incarnation.id);
    return (
      ended !== undefined &&
      !isSuccessor(incarnation, ended) &&
      compareIncarnations(incarnation, ended) !== 'later'
    );
  }

  /** The highest fencing token that was sent to lives of the id; 0 when none was. */
  tokenOf(id: string): number {
    return this.incarnations.get(id)?.token ?? 0;
  }
}

function isSuccessor({ born }: Incarnation, { successorBorn }: EndedIncarnation): boolean {
  return born !== undefined && born === successorBorn;
}

/** Ended lives to remember; a heartbeat is late by seconds, in which only a few can end. */
const MAX_REMEMBERED = 64;
