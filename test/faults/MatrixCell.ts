import type HeldMessages from '../support/HeldMessages';
import SimulatedSystem from '../support/SimulatedSystem';
import checkOutcomes from './checkOutcomes';
import type ProcessRoles from './ProcessRoles';

/** The calls of a cell, by the letter of their column in the matrix. */
const CALLS = {
  J: { kind: 'job', tasks: [150, 400, 400, 400, 400, 400] },
  K: { kind: 'job', tasks: [300, 300, 300], once: true },
  R: { kind: 'request', tasks: [250] },
  I: { kind: 'request', tasks: [250], idempotent: true },
} as const;

type Letter = keyof typeof CALLS;

const LETTERS = Object.keys(CALLS) as Letter[];

/** Upper bound for a single answer: longer than the caller's wait and the time-out of its connection. */
const ANSWER_TIMEOUT_MS = 12_000;
/** Time after the end of the fault within which all callers have a final answer. */
const SETTLE_TIMEOUT_MS = 40_000;
/** Longer than the maximum clock skew, so that new ids are known to be new. */
const QUIET_MS = 6000;

/** One cell of the fault matrix: a system, its callers and the roles of its processes. */
export default class MatrixCell {
  readonly ids: Readonly<Record<Letter, string>>;

  private constructor(
    readonly system: SimulatedSystem,
    public roles: ProcessRoles,
  ) {
    const { owner, other } = roles;
    const rest = [...system.entries.keys()].filter((name) => name !== owner);
    const pick = (letter: Letter): string => {
      const { kind } = CALLS[letter];
      for (let n = 0; ; n += 1) {
        const id = `${letter}${n}`;
        if (system.owner(kind, id) === owner && system.owner(kind, id, rest) === other) return id;
      }
    };
    this.ids = { J: pick('J'), K: pick('K'), R: pick('R'), I: pick('I') };
  }

  /** Starts a system and waits until it is idle. */
  static async open(): Promise<MatrixCell> {
    const entries = { owner: 'e1', other: 'e2', forwarder: 'e3' };
    return new MatrixCell(await SimulatedSystem.start(), {
      ...entries,
      sidecar: 's1',
      secondSidecar: 's2',
    });
  }

  /** Sends all calls, or those of some letters. */
  sendCalls(letters: readonly Letter[] = LETTERS): void {
    letters.forEach((letter) => {
      this.system.call({ ...CALLS[letter], id: this.ids[letter], via: this.roles.forwarder });
    });
  }

  /** Holds back messages of a kind to or from the owner, except for the first `skip` of them. */
  hold(kind: string, skip = 0): HeldMessages {
    let seen = 0;
    return this.system.network.hold((message) => {
      const { owner } = this.roles;
      if (message.kind !== kind || (message.from !== owner && message.to !== owner)) return false;
      seen += 1;
      return seen > skip;
    });
  }

  /** Number of starts of an id. */
  startCount(letter: Letter): number {
    return this.system.events.filter(
      ({ kind, id }) => kind === 'started' && id === this.ids[letter],
    ).length;
  }

  /** Waits for the end of all calls, checks that all slots work, and returns the outcome of each id. */
  async conclude(): Promise<string> {
    const { system } = this;
    const settled = await system.advanceUntil(() => system.openCalls === 0, SETTLE_TIMEOUT_MS, 50);
    await system.timer.advance(QUIET_MS);
    const unfinished = settled ? [] : ['some calls are still open'];
    const probe = await this.probe();
    system.stop();
    const broken = [...unfinished, ...checkOutcomes(system.events, ANSWER_TIMEOUT_MS), ...probe];
    const outcomes = LETTERS.map(
      (letter) => `${letter} ${this.outcome(letter)} ${this.startCount(letter)}`,
    );
    return [...outcomes, ...broken.map((line) => `BROKEN ${line}`)].join(' | ');
  }

  /** Checks that a job with as many tasks as there are slots runs them all at once. */
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
      (event) => event.kind === 'answered' && event.id === this.ids[letter],
    );
    const last = answers.at(-1);
    return last?.kind === 'answered' ? last.outcome : 'none';
  }
}
