import type BatchClaims from '../claims/BatchClaims';
import RUN_END_BOUND_MS from '../runs/RUN_END_BOUND_MS';
import runLimits from '../runs/runLimits';
import type Admission from './Admission';
import answerMessages from './answerMessages';
import Batch from './Batch';
import type BatchAnswer from './BatchAnswer';
import type BatchEntryOptions from './BatchEntryOptions';
import type BatchSubmission from './BatchSubmission';
import type Cancellation from './Cancellation';
import type CancelledIds from './CancelledIds';
import type EntryContext from './EntryContext';
import type CrashHistory from './CrashHistory';
import type BatchEstimator from './BatchEstimator';
import recordAccepted from './recordAccepted';
import type OpenBatches from './OpenBatches';
import type RunEndHandler from './RunEndHandler';
import type Scheduler from './Scheduler';
import type LoadShedder from './LoadShedder';
import type StoredCancellations from './StoredCancellations';

interface SubmissionHandlerOptions extends Pick<BatchEntryOptions, 'timer' | 'log' | 'metrics'> {
  readonly batches: OpenBatches;
  readonly cancelled: CancelledIds;
  /** Undefined if cancellations are kept in memory only. */
  readonly storedCancellations: StoredCancellations | undefined;
  readonly claims: BatchClaims;
  readonly crashHistory: CrashHistory;
  readonly estimator: BatchEstimator;
  readonly admission: Admission;
  readonly loadShedder: LoadShedder;
  readonly scheduler: Scheduler;
  readonly runEndHandler: RunEndHandler;
  /** State of the entry apart from its batches, for logs. */
  readonly context: () => Omit<EntryContext, 'queued' | 'earlier'>;
}

/** Handles the requests of callers: batches are joined, refused, accepted or cancelled. */
export default class SubmissionHandler {
  private constructor(private readonly opts: SubmissionHandlerOptions) {}

  /** Creates the handler of an entry. */
  static create(opts: SubmissionHandlerOptions): SubmissionHandler {
    return new SubmissionHandler(opts);
  }

  /**
   * Why a batch is refused regardless of its content, before its request is read; undefined if it
   * is to be submitted. A resubmission joins the batch that is there, and is not refused.
   */
  refusalOf(id: string, queue: string): BatchAnswer | undefined {
    const { batches, admission, metrics } = this.opts;
    const isKnown = batches.find(id) !== undefined || batches.answeredButRunning(id).length > 0;
    const refusal = isKnown ? undefined : admission.refusalByLag(id, queue);
    if (refusal) metrics?.add('batches_answered_total', 1, queue, refusal.kind);
    return refusal;
  }

  /**
   * Runs a batch and resolves to its answer. When `callerGone` aborts first, its runs are stopped.
   */
  async submit(submission: BatchSubmission, callerGone: AbortSignal): Promise<BatchAnswer> {
    const answer = await this.answerTo(submission, callerGone);
    this.opts.metrics?.add('batches_answered_total', 1, submission.queue.name, answer.kind);
    return answer;
  }

  /**
   * Cancels a batch, and prevents it from running if it arrives later; false if it is not open
   * here.
   */
  cancel(cancellation: Cancellation, source: CancellationSource): boolean {
    const { batches, cancelled, storedCancellations, log } = this.opts;
    const { batch: id, ageMs } = cancellation;
    const isNew = cancelled.add(cancellation);
    if (isNew && ageMs > 0) storedCancellations?.keep(id);
    const batch = batches.find(id);
    if (batch || isLogged[source](isNew)) {
      log.info('a batch is cancelled', { request: id, isOpen: Boolean(batch), source, ageMs });
    }
    if (batch) batches.finish(batch, { kind: 'cancelled' });
    return batch !== undefined;
  }

  private async answerTo(
    submission: BatchSubmission,
    callerGone: AbortSignal,
  ): Promise<BatchAnswer> {
    const { batches, cancelled, log, admission, timer } = this.opts;
    const { id } = submission;
    if (cancelled.has(id)) {
      log.info('ignoring a batch that was cancelled before', { request: id });
      return { kind: 'cancelled' };
    }
    const open = batches.find(id);
    if (open) {
      const sinceMs = Math.round(timer.now() - open.arrivedAt);
      log.info('a batch is submitted again', { request: id, callers: open.callers, sinceMs });
      return batches.join(open, callerGone);
    }
    return admission.refusalOf(submission) ?? this.accept(submission, callerGone);
  }

  /** Runs a batch that is new here, unless it is predicted to miss its latency target. */
  private async accept(submission: BatchSubmission, callerGone: AbortSignal): Promise<BatchAnswer> {
    const { batches, crashHistory, runEndHandler, estimator, scheduler, loadShedder, timer } =
      this.opts;
    const earlier = batches.answeredButRunning(submission.id);
    const batch = Batch.accept(estimator.addEstimates(submission), timer.now());
    const hasCrashed = crashHistory.restore(batch);
    const refusal = earlier.length === 0 ? loadShedder.refusalOf(batch) : undefined;
    if (refusal) return refusal;
    batches.add(batch);
    const { queued } = scheduler;
    const { context } = this.opts;
    recordAccepted(this.opts, batch, { ...context(), queued, earlier: earlier.length });
    if (hasCrashed) runEndHandler.failIfCrashing(batch);
    const answer = batches.join(batch, callerGone);
    await Promise.race([answer, this.claim(batch, earlier)]);
    return answer;
  }

  /**
   * Schedules a batch once no other entry runs it, its earlier runs here have ended, and it is known not to be
   * cancelled.
   */
  private async claim(batch: Batch, earlier: readonly Batch[]): Promise<void> {
    const { batches, claims, scheduler, storedCancellations } = this.opts;
    const done = new AbortController();
    const claim = claims.open({
      batch: batch.id,
      keptMs: Math.round(Math.max(0, batch.submission.waitMs) + MAX_RUN_END_MS),
      onContested: () => {
        batch.mayHaveRun = true;
      },
      onLost: () =>
        batches.finish(batch, { kind: 'unknown', reason: 'another entry has taken it' }),
    });
    batch.whenAnswered().then(() => {
      claims.close(claim);
      done.abort();
    });
    await Promise.all(earlier.map((each) => each.whenIdle()));
    await storedCancellations?.whenLoaded(done.signal);
    if (batch.answer) return;
    const result = await claims.acquire(claim, done.signal);
    if (batch.answer) return;
    if (result === 'held') scheduler.add(batch);
    else batches.finish(batch, answerMessages.read(result));
  }
}

/** Who has told of a cancellation. */
type CancellationSource = 'its caller' | 'another entry' | 'the store';

/** Whether a cancellation of a batch that is not open here is logged. */
const isLogged: Readonly<Record<CancellationSource, (isNew: boolean) => boolean>> = {
  'its caller': () => true,
  'another entry': (isNew) => isNew,
  'the store': () => false,
};

/** Longest time from the answer to a batch until its runs have ended, ms. */
const MAX_RUN_END_MS = RUN_END_BOUND_MS.afterConfirmation + runLimits.nextIncarnationMs;
