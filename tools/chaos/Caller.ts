import type Random from '../../src/core/Random';
import type TimerService from '../../src/core/TimerService';
import type Attempt from './Attempt';
import type EntryClient from './EntryClient';
import makeWork from './makeWork';
import type Work from './Work';

const MAX_PAUSE_MS = 200;
const RETRY_MS = 100;
const DUPLICATED_SHARE = 0.15;
const CANCELLED_SHARE = 0.05;
const ASKED_AGAIN_SHARE = 0.15;
const MAX_CANCEL_MS = 500;
const MAX_AGAIN_MS = 3000;
/** Answers "unknown" that do not ask to come back, before the caller takes it as final. */
const UNKNOWN_LIMIT = 2;

interface CallerOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly client: EntryClient;
  readonly entries: () => readonly string[];
  readonly works: Work[];
}

/** A caller that never gives up: it resubmits through other entries until it has a final answer. */
export default class Caller {
  private constructor(private readonly options: CallerOptions) {}

  /** Creates a caller. */
  static create(options: CallerOptions): Caller {
    return new Caller(options);
  }

  /** Makes work until the signal, then ends once the last of it has its final answer. */
  async run(stop: AbortSignal): Promise<void> {
    const { timer, random, works } = this.options;
    const again: Promise<void>[] = [];
    while (!stop.aborted) {
      const work = makeWork(random);
      works.push(work);
      await this.pursue(work);
      if (work.keyed && random.unit() < ASKED_AGAIN_SHARE) again.push(this.askAgain(work));
      await timer.sleep(random.unit() * MAX_PAUSE_MS, stop);
    }
    await Promise.all(again);
  }

  /** Gets one piece of work done, or its clear failure. */
  async pursue(work: Work): Promise<void> {
    const { random } = this.options;
    const mayDuplicate = work.keyed && random.unit() < DUPLICATED_SHARE;
    const isCancelled = work.kind === 'job' && random.unit() < CANCELLED_SHARE;
    const cancelled = isCancelled ? this.cancel(work) : Promise.resolve();
    const copies = mayDuplicate ? [this.try(work), this.try(work)] : [];
    let unknowns = 0;
    while (work.final === undefined) {
      const attempt = await this.try(work);
      const verdict = verdicts[attempt.outcome] ?? 'final';
      unknowns += attempt.outcome === 'unknown' && attempt.retryAfterMs === 0 ? 1 : 0;
      const isOver = verdict === 'final' || unknowns >= UNKNOWN_LIMIT || mustStop(work, verdict);
      if (isOver) this.finish(work, attempt);
      else await this.pause(attempt);
    }
    await Promise.all([cancelled, ...copies]);
  }

  private finish(work: Work, attempt: Attempt): void {
    work.final = attempt.outcome;
    work.finalAt = attempt.endedAt;
  }

  private try(work: Work): Promise<Attempt> {
    return this.options.client.submit(work, this.anEntry(work));
  }

  private async cancel(work: Work): Promise<void> {
    await this.options.timer.sleep(this.options.random.unit() * MAX_CANCEL_MS);
    await this.options.client.cancel(work, this.anEntry(work));
  }

  private async askAgain(work: Work): Promise<void> {
    await this.options.timer.sleep(this.options.random.unit() * MAX_AGAIN_MS);
    await this.try(work);
  }

  /** Any entry but the one asked last. */
  private anEntry(work: Work): string {
    const last = work.attempts.at(-1)?.entry;
    const others = this.options.entries().filter((entry) => entry !== last);
    return others[this.options.random.below(others.length)]!;
  }

  private async pause(attempt: Attempt): Promise<void> {
    const { timer, random } = this.options;
    const jitter = random.jitter(RETRY_MS);
    await timer.sleep(attempt.retryAfterMs * (1 + random.unit() / 2) + jitter);
  }
}

type Verdict = 'again' | 'doubtful' | 'final';

/** What an outcome means to a caller; other outcomes are final. */
const verdicts: Readonly<Record<string, Verdict>> = {
  pending: 'again',
  'not-run': 'again',
  refused: 'again',
  unknown: 'doubtful',
  broken: 'doubtful',
  overdue: 'doubtful',
};

/** Without a key a doubtful request must not be sent again, unless it is idempotent. */
function mustStop(work: Work, verdict: Verdict): boolean {
  return verdict === 'doubtful' && !work.keyed && !work.idempotent;
}
