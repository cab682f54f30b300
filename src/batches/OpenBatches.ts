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
  /** Told of each batch that has its answer: what of it still runs is to be stopped. */
  readonly answered: (batch: Batch) => void;
}

/**
 * The batches at an entry that have no answer, and those with one of which something may still run.
 * An id stands for one batch: submitted again, it joins the open one, or waits for what runs of an
 * ended one to be over.
 */
export default class OpenBatches {
  private readonly open = new Map<string, Batch>();

  /** Answered batches with runs that may go on, by id. */
  private readonly ending = new Map<string, Set<Batch>>();

  private constructor(private readonly opts: OpenBatchesOptions) {}

  /** Creates one without any batch. */
  static create(opts: OpenBatchesOptions): OpenBatches {
    return new OpenBatches(opts);
  }

  get size(): number {
    return this.open.size;
  }

  get all(): readonly Batch[] {
    return [...this.open.values()];
  }

  /** The open batch of an id. */
  find(id: string): Batch | undefined {
    return this.open.get(id);
  }

  /** Ended batches of an id of which something may still run. */
  answeredButRunning(id: string): readonly Batch[] {
    return [...(this.ending.get(id) ?? [])];
  }

  /** Opens an accepted batch, which is given up when its caller's time is over. */
  add(batch: Batch): void {
    this.open.set(batch.id, batch);
    const { timer } = this.opts;
    const deadline = timer.after(batch.submission.waitMs, () => this.expire(batch));
    batch.whenAnswered().then(() => deadline.cancel());
  }

  /** Waits for the answer with one more caller; when all callers are gone, the batch is given up. */
  async join(batch: Batch, gone: AbortSignal): Promise<BatchAnswer> {
    batch.callers += 1;
    const left = (): void => {
      batch.callers -= 1;
      if (batch.callers === 0) {
        this.giveUp(batch, 'its caller closed the connection', 'caller_gone');
      }
    };
    gone.addEventListener('abort', left, { once: true });
    if (gone.aborted) left();
    const answer = await batch.whenAnswered();
    gone.removeEventListener('abort', left);
    return answer;
  }

  /** Gives a batch its answer, unless it has one. */
  finish(batch: Batch, answer: BatchAnswer): void {
    if (batch.answer) return;
    batch.finish(answer);
    this.handleAnswer(batch, answer);
  }

  /** A batch has its answer: its id is free, but for what of it still runs. */
  handleAnswer(batch: Batch, answer: BatchAnswer): void {
    const { timer, log, metrics, answered } = this.opts;
    const { id } = batch;
    const tookMs = timer.now() - batch.arrivedAt;
    metrics?.record('batch_seconds', tookMs / SECOND_MS, batch.submission.queue.name);
    this.open.delete(id);
    // Noted first, so that the same id submitted again waits for these runs whatever comes of stopping them.
    if (batch.runs > 0) this.awaitEnd(batch);
    answered(batch);
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

  private awaitEnd(batch: Batch): void {
    const { id } = batch;
    const endings = this.ending.get(id) ?? new Set();
    this.ending.set(id, endings.add(batch));
    batch.whenIdle().then(() => {
      endings.delete(batch);
      if (endings.size === 0) this.ending.delete(id);
    });
  }

  private expire(batch: Batch): void {
    const reason = `its time is over with ${batch.unfinished} tasks not done`;
    if (batch.suspect) {
      const crashes = `${batch.suspect.crashes} backend servers crashed under a task`;
      this.finish(batch, { kind: 'failed', reason: `${crashes}, and none was free for it alone` });
    } else if (batch.hasNotRun) {
      this.finish(batch, { kind: 'not-run', reason, retryAfterMs: retryDelays.noRoomMs });
    } else this.giveUp(batch, reason, 'out_of_time');
  }
}

const SECOND_MS = 1_000;
