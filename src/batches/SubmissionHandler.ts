import type BatchClaims from '../claims/BatchClaims';
import RUN_END_BOUND_MS from '../runs/RUN_END_BOUND_MS';
import runLimits from '../runs/runLimits';
import type Admission from './Admission';
import answerMessages from './answerMessages';
import Batch from './Batch';
import type BatchAnswer from './BatchAnswer';
import type BatchEntryOptions from './BatchEntryOptions';
import type BatchSubmission from './BatchSubmission';
import CancelledIds from './CancelledIds';
import type EntryContext from './EntryContext';
import type CrashHistory from './CrashHistory';
import type BatchEstimator from './BatchEstimator';
import recordAccepted from './recordAccepted';
import type OpenBatches from './OpenBatches';
import type RunEndHandler from './RunEndHandler';
import type Scheduler from './Scheduler';
import type LoadShedder from './LoadShedder';

interface IntakeOptions extends Pick<BatchEntryOptions, 'timer' | 'log' | 'metrics'> {
  readonly batches: OpenBatches;
  readonly claims: BatchClaims;
  readonly crashed: CrashHistory;
  readonly expectations: BatchEstimator;
  readonly admission: Admission;
  readonly shedding: LoadShedder;
  readonly scheduler: Scheduler;
  readonly ends: RunEndHandler;
  /** What an entry knows besides its batches, for logs. */
  readonly circumstances: () => Omit<EntryContext, 'queued' | 'earlier'>;
}

/** What callers ask of an entry: batches that are joined, refused or accepted, and batches that are cancelled. */
export default class SubmissionHandler {
  private readonly cancelled: CancelledIds;

  private constructor(private readonly opts: IntakeOptions) {
    this.cancelled = CancelledIds.create(opts.timer);
  }

  /** Creates the intake of an entry. */
  static create(opts: IntakeOptions): SubmissionHandler {
    return new SubmissionHandler(opts);
  }

  /**
   * Why a batch is refused whatever it asks for, before its request is read; undefined when it is to be submitted.
   * What is submitted again joins what is there of it, and is not refused.
   */
  refusalOf(id: string, queue: string): BatchAnswer | undefined {
    const { batches, admission, metrics } = this.opts;
    const isKnown = batches.find(id) !== undefined || batches.answeredButRunning(id).length > 0;
    const refusal = isKnown ? undefined : admission.refusalByLag(id, queue);
    if (refusal) metrics?.add('batches_answered_total', 1, queue, refusal.kind);
    return refusal;
  }

  /** Runs a batch and resolves to its answer. When `gone` aborts first, its runs are stopped. */
  async submit(submission: BatchSubmission, gone: AbortSignal): Promise<BatchAnswer> {
    const answer = await this.answerTo(submission, gone);
    this.opts.metrics?.add('batches_answered_total', 1, submission.queue.name, answer.kind);
    return answer;
  }

  /** Ends a batch, and does not run it when it arrives later; false when it is not open here. */
  cancel(id: string, source: string): boolean {
    const { batches, log } = this.opts;
    this.cancelled.add(id);
    const batch = batches.find(id);
    log.info('a batch is cancelled', { request: id, isOpen: Boolean(batch), source });
    if (batch) batches.finish(batch, { kind: 'cancelled' });
    return batch !== undefined;
  }

  private async answerTo(submission: BatchSubmission, gone: AbortSignal): Promise<BatchAnswer> {
    const { batches, log, admission, timer } = this.opts;
    const { id } = submission;
    if (this.cancelled.has(id)) {
      log.info('a batch that was cancelled before is not run', { request: id });
      return { kind: 'cancelled' };
    }
    const known = batches.find(id);
    if (known) {
      const sinceMs = Math.round(timer.now() - known.arrivedAt);
      log.info('a batch is submitted again', { request: id, callers: known.callers, sinceMs });
      return batches.join(known, gone);
    }
    return admission.refusalOf(submission) ?? this.accept(submission, gone);
  }

  /** Runs what is new here, unless it is predicted not to be served in time. */
  private async accept(submission: BatchSubmission, gone: AbortSignal): Promise<BatchAnswer> {
    const { batches, crashed, ends, expectations, scheduler, shedding, timer } = this.opts;
    const earlier = batches.answeredButRunning(submission.id);
    const batch = Batch.accept(expectations.addEstimates(submission), timer.now());
    const hasCrashed = crashed.restore(batch);
    const refusal = earlier.length === 0 ? shedding.refusalOf(batch) : undefined;
    if (refusal) return refusal;
    batches.add(batch);
    const { queued } = scheduler;
    const { circumstances } = this.opts;
    recordAccepted(this.opts, batch, { ...circumstances(), queued, earlier: earlier.length });
    if (hasCrashed) ends.failIfCrashing(batch);
    const answer = batches.join(batch, gone);
    await Promise.race([answer, this.claim(batch, earlier)]);
    return answer;
  }

  /** Has a batch run once no other entry does, and what ran of it here before is over. */
  private async claim(batch: Batch, earlier: readonly Batch[]): Promise<void> {
    const { batches, claims, scheduler } = this.opts;
    const done = new AbortController();
    const claim = claims.open({
      batch: batch.id,
      keptMs: Math.round(Math.max(0, batch.submission.waitMs) + RUNS_END_MS),
      contested: () => {
        batch.mayHaveRun = true;
      },
      lost: () => batches.finish(batch, { kind: 'unknown', reason: 'another entry has taken it' }),
    });
    batch.whenAnswered().then(() => {
      claims.close(claim);
      done.abort();
    });
    await Promise.all(earlier.map((each) => each.whenIdle()));
    if (batch.answer) return;
    const settled = await claims.acquire(claim, done.signal);
    if (batch.answer) return;
    if (settled === 'held') scheduler.add(batch);
    else batches.finish(batch, answerMessages.read(settled));
  }
}

/** Within this time after the answer to a batch its runs are over, ms. */
const RUNS_END_MS = RUN_END_BOUND_MS.afterConfirmation + runLimits.nextIncarnationMs;
