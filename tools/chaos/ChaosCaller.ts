import type Random from '../../src/core/Random';
import type TimerService from '../../src/core/TimerService';
import type CallerAttempt from './CallerAttempt';
import type EntryClient from './EntryClient';
import createWorkItem from './createWorkItem';
import type WorkItem from './WorkItem';

const MAX_PAUSE_MS = 200;
const RETRY_MS = 100;
const DUPLICATED_SHARE = 0.15;
const CANCELLED_SHARE = 0.05;
const RESUBMITTED_SHARE = 0.15;
const MAX_CANCELLATION_DELAY_MS = 500;
const MAX_RESUBMISSION_DELAY_MS = 3000;
/** Number of "unknown" answers without a retry delay after which the caller treats the outcome as final. */
const MAX_UNKNOWN_ANSWERS = 2;

interface CallerOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly client: EntryClient;
  readonly entries: () => readonly string[];
  readonly workItems: WorkItem[];
}

/** A caller that never gives up: it resubmits through other entries until it gets a final answer. */
export default class ChaosCaller {
  private constructor(private readonly options: CallerOptions) {}

  /** Creates a caller. */
  static create(options: CallerOptions): ChaosCaller {
    return new ChaosCaller(options);
  }

  /** Creates work items until the signal, and resolves once all have their final answers. */
  async run(stop: AbortSignal): Promise<void> {
    const { timer, random, workItems } = this.options;
    const resubmissions: Promise<void>[] = [];
    while (!stop.aborted) {
      const work = createWorkItem(random);
      workItems.push(work);
      await this.complete(work);
      if (work.keyed && random.unit() < RESUBMITTED_SHARE)
        resubmissions.push(this.resubmitLater(work));
      await timer.sleep(random.unit() * MAX_PAUSE_MS, stop);
    }
    await Promise.all(resubmissions);
  }

  /** Submits a work item until it has a final answer. */
  async complete(work: WorkItem): Promise<void> {
    const { random } = this.options;
    const mayDuplicate = work.keyed && random.unit() < DUPLICATED_SHARE;
    const isCancelled = work.kind === 'job' && random.unit() < CANCELLED_SHARE;
    const cancellation = isCancelled ? this.cancel(work) : Promise.resolve();
    const duplicates = mayDuplicate ? [this.submit(work), this.submit(work)] : [];
    let unknowns = 0;
    while (work.finalOutcome === undefined) {
      const attempt = await this.submit(work);
      const verdict = verdicts[attempt.outcome] ?? 'final';
      unknowns += attempt.outcome === 'unknown' && attempt.retryAfterMs === 0 ? 1 : 0;
      const isOver =
        verdict === 'final' || unknowns >= MAX_UNKNOWN_ANSWERS || mustStop(work, verdict);
      if (isOver) this.finish(work, attempt);
      else await this.waitBeforeRetry(attempt);
    }
    await Promise.all([cancellation, ...duplicates]);
  }

  private finish(work: WorkItem, attempt: CallerAttempt): void {
    work.finalOutcome = attempt.outcome;
    work.finalAt = attempt.endedAt;
  }

  private submit(work: WorkItem): Promise<CallerAttempt> {
    return this.options.client.submit(work, this.otherEntry(work));
  }

  private async cancel(work: WorkItem): Promise<void> {
    await this.options.timer.sleep(this.options.random.unit() * MAX_CANCELLATION_DELAY_MS);
    await this.options.client.cancel(work, this.otherEntry(work));
  }

  private async resubmitLater(work: WorkItem): Promise<void> {
    await this.options.timer.sleep(this.options.random.unit() * MAX_RESUBMISSION_DELAY_MS);
    await this.submit(work);
  }

  /** A random entry other than the one used last. */
  private otherEntry(work: WorkItem): string {
    const last = work.attempts.at(-1)?.entry;
    const others = this.options.entries().filter((entry) => entry !== last);
    return others[this.options.random.below(others.length)]!;
  }

  private async waitBeforeRetry(attempt: CallerAttempt): Promise<void> {
    const { timer, random } = this.options;
    const jitter = random.jitter(RETRY_MS);
    await timer.sleep(attempt.retryAfterMs * (1 + random.unit() / 2) + jitter);
  }
}

type Verdict = 'retry' | 'inDoubt' | 'final';

/** How a caller treats an outcome; outcomes not listed are final. */
const verdicts: Readonly<Record<string, Verdict>> = {
  pending: 'retry',
  'not-run': 'retry',
  refused: 'retry',
  unknown: 'inDoubt',
  broken: 'inDoubt',
  overdue: 'inDoubt',
};

/** Without a key, a request whose outcome is in doubt must not be resubmitted unless it is idempotent. */
function mustStop(work: WorkItem, verdict: Verdict): boolean {
  return verdict === 'inDoubt' && !work.keyed && !work.idempotent;
}
