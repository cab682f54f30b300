import type HeldMessages from '../support/HeldMessages';
import SimulatedSystem from '../support/SimulatedSystem';
import checkOutcomes from './checkOutcomes';
import type ProcessRoles from './ProcessRoles';

/** What a cell's callers ask for, by the letter of its column. */
const ASKS = {
  J: { kind: 'job', tasks: [150, 400, 400, 400, 400, 400] },
  K: { kind: 'job', tasks: [300, 300, 300], once: true },
  R: { kind: 'request', tasks: [250] },
  I: { kind: 'request', tasks: [250], idempotent: true },
} as const;

type Letter = keyof typeof ASKS;

const LETTERS = Object.keys(ASKS) as Letter[];

/** Longer than any promise of a single answer: the wait and the connection's patience. */
const ANSWER_MS = 12_000;
/** Within this time after the fault's end, all callers have been told something final. */
const SETTLED_MS = 40_000;
/** Longer than clocks may differ, so that new ids are known to be new. */
const QUIET_MS = 6000;

/** One cell of the matrix: a system, its callers and the parts that its processes play. */
export default class MatrixCell {
  readonly ids: Readonly<Record<Letter, string>>;

  private constructor(
    readonly system: SimulatedSystem,
    public roles: ProcessRoles,
  ) {
    const { owner, other } = roles;
    const rest = [...system.entries.keys()].filter((name) => name !== owner);
    const pick = (letter: Letter): string => {
      const { kind } = ASKS[letter];
      for (let n = 0; ; n += 1) {
        const id = `${letter}${n}`;
        if (system.owner(kind, id) === owner && system.owner(kind, id, rest) === other) return id;
      }
    };
    this.ids = { J: pick('J'), K: pick('K'), R: pick('R'), I: pick('I') };
  }

  /** Starts a system at rest. */
  static async open(): Promise<MatrixCell> {
    const entries = { owner: 'e1', other: 'e2', forwarder: 'e3' };
    return new MatrixCell(await SimulatedSystem.start(), {
      ...entries,
      sidecar: 's1',
      secondSidecar: 's2',
    });
  }

  /** Has the callers ask, all of them or some. */
  sendCalls(letters: readonly Letter[] = LETTERS): void {
    letters.forEach((letter) => {
      this.system.call({ ...ASKS[letter], id: this.ids[letter], via: this.roles.forwarder });
    });
  }

  /** Holds messages of a kind to or from the owner, once `pass` of them have gone by. */
  hold(kind: string, pass = 0): HeldMessages {
    let seen = 0;
    return this.system.network.hold((message) => {
      const { owner } = this.roles;
      if (message.kind !== kind || (message.from !== owner && message.to !== owner)) return false;
      seen += 1;
      return seen > pass;
    });
  }

  /** Number of starts of an id. */
  startCount(letter: Letter): number {
    return this.system.events.filter(
      ({ kind, id }) => kind === 'started' && id === this.ids[letter],
    ).length;
  }

  /** Waits for the end of all conversations, tries all slots, and says what came of each id. */
  async conclude(): Promise<string> {
    const { system } = this;
    const settled = await system.advanceUntil(() => system.openCalls === 0, SETTLED_MS, 50);
    await system.timer.advance(QUIET_MS);
    const broken = settled ? [] : ['some callers are still asking'];
    const probe = await this.probe();
    system.stop();
    const found = [...broken, ...checkOutcomes(system.events, ANSWER_MS), ...probe];
    const told = LETTERS.map(
      (letter) => `${letter} ${this.outcome(letter)} ${this.startCount(letter)}`,
    );
    return [...told, ...found.map((line) => `BROKEN ${line}`)].join(' | ');
  }

  /** A job of as many tasks as there are slots must run them all at once. */
  private async probe(): Promise<string[]> {
    const { system } = this;
    const backends = [...system.backends.values()];
    const slots = backends.length * system.slots;
    const runningNow = () => backends.reduce((sum, { running }) => sum + running, 0);
    system.call({ id: 'probe', kind: 'job', tasks: new Array(slots).fill(5000), via: 'e1' });
    const all = await system.advanceUntil(() => runningNow() === slots, 4000, 20);
    const reached = runningNow();
    await system.advanceUntil(() => system.openCalls === 0, 10_000, 100);
    const answer = system.events.findLast(({ id }) => id === 'probe');
    const outcome = answer?.kind === 'answered' ? answer.outcome : 'none';
    const ended = outcome === 'completed' ? [] : [`the probe ended as ${outcome}`];
    return all ? ended : [`only ${reached} of ${slots} slots run`, ...ended];
  }

  private outcome(letter: Letter): string {
    const answers = this.system.events.filter(
      (happening) => happening.kind === 'answered' && happening.id === this.ids[letter],
    );
    const last = answers.at(-1);
    return last?.kind === 'answered' ? last.outcome : 'none';
  }
}
