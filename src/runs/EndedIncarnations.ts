import compareIncarnations from './compareIncarnations';

interface Life {
  readonly id: string;
  readonly born?: number;
}

interface EndedLife extends Life {
  readonly token: number;
  /** When the life started that is known to have followed, as that tells. */
  readonly successor: number | undefined;
}

/**
 * Lives of backend servers that are known to have ended, the newest of each id. Which is newer is told by when they
 * started, unless one has answered in place of the other.
 */
export default class EndedIncarnations {
  private readonly lives = new Map<string, EndedLife>();

  private constructor() {}

  /** Creates one that knows of none. */
  static create(): EndedIncarnations {
    return new EndedIncarnations();
  }

  /**
   * Remembers a life, with the highest fencing token that was sent there, and when the life started that has
   * answered in its place, as that tells.
   */
  add(life: Life, token = 0, successor?: number): void {
    const { id } = life;
    const before = this.lives.get(id);
    const isOlder =
      before && !isNext(life, before) && compareIncarnations(life, before) === 'earlier';
    const { born } = isOlder ? before : life;
    const next = isOlder ? before.successor : successor;
    this.lives.delete(id);
    this.lives.set(id, {
      id,
      born,
      token: Math.max(token, before?.token ?? 0),
      successor: next === born ? undefined : next,
    });
    const [oldest] = this.lives.keys();
    if (this.lives.size > REMEMBERED_LIVES && oldest !== undefined) this.lives.delete(oldest);
  }

  /** Whether a life is one of them, or was there before one of them. */
  has(life: Life): boolean {
    const ended = this.lives.get(life.id);
    return (
      ended !== undefined && !isNext(life, ended) && compareIncarnations(life, ended) !== 'later'
    );
  }

  /** The highest fencing token that was sent to lives of the id; 0 when none was. */
  tokenOf(id: string): number {
    return this.lives.get(id)?.token ?? 0;
  }
}

function isNext({ born }: Life, { successor }: EndedLife): boolean {
  return born !== undefined && born === successor;
}

/** Ended lives to remember; a heartbeat is late by seconds, in which only a few can end. */
const REMEMBERED_LIVES = 64;
