import type TimerService from '../core/TimerService';
import type EventLog from '../observe/EventLog';
import type Metrics from '../observe/Metrics';
import type Batch from './Batch';
import type BatchAnswer from './BatchAnswer';
import retryDelays from './retryDelays';

interface OpenBatchesOptions {
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics?: Metrics;
  /** Called for each batch that has its answer: its active runs are to be stopped. */
  readonly onAnswered: (batch: Batch) => void;
}

/**
 * The batches at an entry that have no answer, and the answered ones that may still have active
 * runs. An id stands for one batch: a resubmission joins the open one, or waits until the runs of
 * an answered one have ended.
 */
export default class OpenBatches {
  private readonly open = new Map<string, Batch>();

  /** Answered batches that may still have active runs, by id. */
  private readonly running = new Map<string, Set<Batch>>();

  private constructor(private readonly opts: OpenBatchesOptions) {}

  /** Creates an instance without batches. */
  static create(opts: OpenBatchesOptions): OpenBatches {
    return new OpenBatches(opts);
  }

  get size(): number {
    return this.open.size;
  }

  get all(): readonly Batch[] {
    return [...this.open.values()];
  }

  /** The open batch with this id. */
  find(id: string): Batch | undefined {
    return this.open.get(id);
  }

  /** The answered batches with this id that may still have active runs. */
  answeredButRunning(id: string): readonly Batch[] {
    return [...(this.running.get(id) ?? [])];
  }

  /** Adds an accepted batch, which is given up when its caller's time is over. */
  add(batch: Batch): void {
    this.open.set(batch.id, batch);
    const { timer } = this.opts;
    const deadline = timer.after(batch.submission.waitMs, () => this.timeOut(batch));
    batch.whenAnswered().then(() => deadline.cancel());
  }

  /**
   * Waits for the answer on behalf of one more caller; the batch is given up when all callers are
   * gone.
   */
  async join(batch: Batch, callerGone: AbortSignal): Promise<BatchAnswer> {
    batch.callers += 1;
    const onLeave = (): void => {
      batch.callers -= 1;
      if (batch.callers === 0) {
        this.giveUp(batch, 'its caller closed the connection', 'caller_gone');
      }
    };
    callerGone.addEventListener('abort', onLeave, { once: true });
    if (callerGone.aborted) onLeave();
    const answer = await batch.whenAnswered();
    callerGone.removeEventListener('abort', onLeave);
    return answer;
  }

  /** Answers a batch, unless it has an answer. */
  finish(batch: Batch, answer: BatchAnswer): void {
    if (batch.answer) return;
    batch.finish(answer);
    this.handleAnswer(batch, answer);
  }

  /** Handles a batch that has its answer: its id is free, apart from its active runs. */
  handleAnswer(batch: Batch, answer: BatchAnswer): void {
    const { timer, log, metrics, onAnswered } = this.opts;
    const { id } = batch;
    const tookMs = timer.now() - batch.arrivedAt;
    metrics?.record('batch_seconds', tookMs / SECOND_MS, batch.submission.queue.name);
    this.open.delete(id);
    // Recorded first, so that a resubmission of the id waits for these runs whatever happens on
    // stopping them.
    if (batch.runs > 0) this.trackUntilIdle(batch);
    onAnswered(batch);
    log.info('a batch is answered', {
      request: id,
      ...answer,
      tookMs: Math.round(tookMs),
      starts: batch.startsSent,
      stillRunning: batch.runs,
    });
  }

  /** Gives up all open batches. */
  giveUpAll(reason: string, cause: 'held_up' | 'cut_off' | 'leaving'): void {
    this.all.forEach((batch) => this.giveUp(batch, reason, cause));
  }

  private giveUp(batch: Batch, reason: string, cause: string): void {
    if (batch.answer) return;
    this.opts.metrics?.add('batches_given_up_total', 1, cause);
    this.finish(batch, { kind: 'unknown', reason });
  }

  private trackUntilIdle(batch: Batch): void {
    const { id } = batch;
    const runningBatches = this.running.get(id) ?? new Set();
    this.running.set(id, runningBatches.add(batch));
    batch.whenIdle().then(() => {
      runningBatches.delete(batch);
      if (runningBatches.size === 0) this.running.delete(id);
    });
  }

  private timeOut(batch: Batch): void {
    const reason = `its time is over with ${batch.unfinished} tasks not done`;
    if (batch.suspect) {
      const crashes = `${batch.suspect.crashes} backend servers crashed under a task`;
      this.finish(batch, { kind: 'failed', reason: `${crashes}, and none was free for it alone` });
    } else if (batch.hasNotRun) {
      this.finish(batch, { kind: 'not-run', reason, retryAfterMs: retryDelays.noBackendMs });
    } else this.giveUp(batch, reason, 'out_of_time');
  }
}

const SECOND_MS = 1_000;
