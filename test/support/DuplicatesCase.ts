import Random from '../../src/core/Random';
import BatchCase from './BatchCase';

type Fault = 'kill' | 'cut' | 'delay' | 'loss';

interface Copy {
  readonly id: string;
  readonly entry: number;
  readonly submission: ReturnType<BatchCase['submit']>;
}

/** Callers that send a batch to several entries, with any pause between, while faults part the entries. */
export default class DuplicatesCase {
  private readonly copies: Copy[] = [];

  private readonly dead = new Set<number>();

  private constructor(
    readonly batchCase: BatchCase,
    private readonly random: Random,
    private readonly entries: number,
  ) {}

  /** Runs some fifty batches and twenty faults of these kinds, and waits until all is answered. */
  static async run(seed: number, faults: readonly Fault[]): Promise<DuplicatesCase> {
    const random = Random.fromSeed(seed);
    const entries = 3 + random.below(8);
    const copies = new DuplicatesCase(
      await BatchCase.open({ entries, sidecars: 12 }),
      random,
      entries,
    );
    for (let step = 0; step < STEPS; step += 1) {
      await copies.batchCase.timer.advance(random.below(120));
      if (faults.length > 0 && random.below(10) >= 7) copies.strike(faults);
      else copies.submit(`j${step}`);
    }
    await copies.batchCase.timer.advance(LAST_MS);
    return copies;
  }

  /** Copies without an answer whose callers and entries are there. */
  get unanswered(): readonly string[] {
    return this.copies
      .filter(({ entry, submission: { answer, gone } }) => {
        const isLeft = gone.signal.aborted || this.dead.has(entry);
        return !answer && !isLeft;
      })
      .map(({ id, entry }) => `${id} at e${entry}`);
  }

  /** How many copies were completed. */
  get completed(): number {
    return this.copies.filter(({ submission }) => submission.answer?.kind === 'completed').length;
  }

  private get alive(): readonly number[] {
    return [...Array(this.entries).keys()].filter((entry) => !this.dead.has(entry));
  }

  private anyEntry(): number {
    return this.alive[this.random.below(this.alive.length)]!;
  }

  private send(id: string, ms: number, entry = this.anyEntry()): Copy {
    const { batchCase, random } = this;
    const [tasks, waitMs] = [1 + random.below(3), 1_500 + random.below(3_000)];
    const copy = { id, entry, submission: batchCase.submit(id, { entry, tasks, ms, waitMs }) };
    this.copies.push(copy);
    return copy;
  }

  private submit(id: string): void {
    const { batchCase, random } = this;
    const ms = 50 + random.below(600);
    const first = this.send(id, ms);
    for (let copies = random.below(3); copies > 0; copies -= 1) {
      const isLeft = random.below(2) === 0;
      batchCase.timer.after(PAUSES_MS[random.below(PAUSES_MS.length)]!, () => {
        if (isLeft) first.submission.gone.abort();
        this.send(id, ms);
      });
    }
  }

  private strike(faults: readonly Fault[]): void {
    const { random } = this;
    const one = this.anyEntry();
    const other = (one + 1 + random.below(this.entries - 1)) % this.entries;
    strikes[faults[random.below(faults.length)]!](this, one, other);
  }

  /** Ends an entry for a while, one at a time; its callers come back at once. */
  kill(entry: number): void {
    if (this.dead.size > 0) return;
    const { batchCase, copies, dead, random } = this;
    dead.add(entry);
    batchCase.network.kill(`e${entry}`);
    const lost = copies.filter((copy) => copy.entry === entry && !copy.submission.answer);
    lost.forEach(({ id, submission }) => {
      if (submission.gone.signal.aborted) return;
      submission.gone.abort();
      batchCase.timer.after(PAUSES_MS[random.below(PAUSES_MS.length)]!, () => this.send(id, 200));
    });
    batchCase.timer.after(200 + random.below(3_000), () => {
      batchCase.addEntry(entry).then(() => {
        batchCase.configure(1, entry);
        dead.delete(entry);
      });
    });
  }

  /** Brings two entries together again after a while. */
  healLater(one: string, other: string): void {
    const { timer, network } = this.batchCase;
    timer.after(this.random.below(2_000), () => network.heal(one, other));
  }
}

const strikes: Readonly<
  Record<Fault, (copies: DuplicatesCase, one: number, other: number) => void>
> = {
  kill: (copies, one) => copies.kill(one),
  cut: (copies, one, other) => {
    copies.batchCase.network.partition(`e${one}`, `e${other}`);
    copies.healLater(`e${one}`, `e${other}`);
  },
  delay: (copies, one, other) => {
    copies.batchCase.network.delay(`e${one}`, `e${other}`, 30 * (one + other));
    copies.healLater(`e${one}`, `e${other}`);
  },
  loss: (copies, one, other) => {
    copies.batchCase.network.blackhole(`e${one}`, `e${other}`);
    copies.healLater(`e${one}`, `e${other}`);
  },
};

const STEPS = 60;

/** Longer than any caller waits, and any run goes on. */
const LAST_MS = 8_000;

const PAUSES_MS = [0, 1, 5, 20, 100, 400, 1_300];
