import Random from '../../src/core/Random';
import BatchCase from './BatchCase';

type Fault = 'kill' | 'cut' | 'delay' | 'loss';

interface Duplicate {
  readonly id: string;
  readonly entry: number;
  readonly submission: ReturnType<BatchCase['submit']>;
}

/**
 * Callers that submit a batch to several entries, with any delay in between, while faults separate
 * the entries.
 */
export default class DuplicatesCase {
  private readonly duplicates: Duplicate[] = [];

  private readonly dead = new Set<number>();

  private constructor(
    readonly batchCase: BatchCase,
    private readonly random: Random,
    private readonly entries: number,
  ) {}

  /** Runs some fifty batches and twenty faults of these kinds, and waits until all are answered. */
  static async run(seed: number, faults: readonly Fault[]): Promise<DuplicatesCase> {
    const random = Random.fromSeed(seed);
    const entries = 3 + random.below(8);
    const duplicates = new DuplicatesCase(
      await BatchCase.open({ entries, sidecars: 12 }),
      random,
      entries,
    );
    for (let step = 0; step < STEP_COUNT; step += 1) {
      await duplicates.batchCase.timer.advance(random.below(120));
      if (faults.length > 0 && random.below(10) >= 7) duplicates.injectFault(faults);
      else duplicates.submit(`j${step}`);
    }
    await duplicates.batchCase.timer.advance(SETTLE_MS);
    return duplicates;
  }

  /** Submissions without an answer whose caller and entry are still there. */
  get unanswered(): readonly string[] {
    return this.duplicates
      .filter(({ entry, submission: { answer, gone } }) => {
        const hasLeft = gone.signal.aborted || this.dead.has(entry);
        return !answer && !hasLeft;
      })
      .map(({ id, entry }) => `${id} at e${entry}`);
  }

  /** Number of submissions that were answered as completed. */
  get completed(): number {
    return this.duplicates.filter(({ submission }) => submission.answer?.kind === 'completed')
      .length;
  }

  private get alive(): readonly number[] {
    return [...Array(this.entries).keys()].filter((entry) => !this.dead.has(entry));
  }

  private anyEntry(): number {
    return this.alive[this.random.below(this.alive.length)]!;
  }

  private submitTo(id: string, ms: number, entry = this.anyEntry()): Duplicate {
    const { batchCase, random } = this;
    const [tasks, waitMs] = [1 + random.below(3), 1_500 + random.below(3_000)];
    const duplicate = { id, entry, submission: batchCase.submit(id, { entry, tasks, ms, waitMs }) };
    this.duplicates.push(duplicate);
    return duplicate;
  }

  private submit(id: string): void {
    const { batchCase, random } = this;
    const ms = 50 + random.below(600);
    const first = this.submitTo(id, ms);
    for (let duplicates = random.below(3); duplicates > 0; duplicates -= 1) {
      const hasLeft = random.below(2) === 0;
      batchCase.timer.after(DELAYS_MS[random.below(DELAYS_MS.length)]!, () => {
        if (hasLeft) first.submission.gone.abort();
        this.submitTo(id, ms);
      });
    }
  }

  private injectFault(faults: readonly Fault[]): void {
    const { random } = this;
    const one = this.anyEntry();
    const other = (one + 1 + random.below(this.entries - 1)) % this.entries;
    faultActions[faults[random.below(faults.length)]!](this, one, other);
  }

  /** Kills an entry for a while, one at a time; its callers retry elsewhere. */
  kill(entry: number): void {
    if (this.dead.size > 0) return;
    const { batchCase, duplicates, dead, random } = this;
    dead.add(entry);
    batchCase.network.kill(`e${entry}`);
    const lost = duplicates.filter(
      (duplicate) => duplicate.entry === entry && !duplicate.submission.answer,
    );
    lost.forEach(({ id, submission }) => {
      if (submission.gone.signal.aborted) return;
      submission.gone.abort();
      batchCase.timer.after(DELAYS_MS[random.below(DELAYS_MS.length)]!, () =>
        this.submitTo(id, 200),
      );
    });
    batchCase.timer.after(200 + random.below(3_000), () => {
      batchCase.addEntry(entry).then(() => {
        batchCase.configure(1, entry);
        dead.delete(entry);
      });
    });
  }

  /** Restores the connection of two entries after a while. */
  healLater(one: string, other: string): void {
    const { timer, network } = this.batchCase;
    timer.after(this.random.below(2_000), () => network.heal(one, other));
  }
}

const faultActions: Readonly<
  Record<Fault, (duplicates: DuplicatesCase, one: number, other: number) => void>
> = {
  kill: (duplicates, one) => duplicates.kill(one),
  cut: (duplicates, one, other) => {
    duplicates.batchCase.network.partition(`e${one}`, `e${other}`);
    duplicates.healLater(`e${one}`, `e${other}`);
  },
  delay: (duplicates, one, other) => {
    duplicates.batchCase.network.delay(`e${one}`, `e${other}`, 30 * (one + other));
    duplicates.healLater(`e${one}`, `e${other}`);
  },
  loss: (duplicates, one, other) => {
    duplicates.batchCase.network.blackhole(`e${one}`, `e${other}`);
    duplicates.healLater(`e${one}`, `e${other}`);
  },
};

const STEP_COUNT = 60;

/** Longer than any caller waits and any run takes, ms. */
const SETTLE_MS = 8_000;

const DELAYS_MS = [0, 1, 5, 20, 100, 400, 1_300];
