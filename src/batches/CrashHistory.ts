import type TimerService from '../core/TimerService';
import type Batch from './Batch';
import type BatchTask from './BatchTask';

/** What is remembered of one task. */
type Remembered = Pick<
  BatchTask,
  'stepNumber' | 'index' | 'crashes' | 'suspicion' | 'excused' | 'failedAt'
>;

/**
 * Under which tasks of which batches backend servers have crashed. Callers submit again what has no result: a
 * task that crashes each backend server that starts it must not begin anew with each submission.
 */
export default class CrashHistory {
  /** By the batch's id, the oldest first. */
  private readonly records = new Map<string, { tasks: readonly Remembered[]; until: number }>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates one without any record. */
  static create(timer: TimerService): CrashHistory {
    return new CrashHistory(timer);
  }

  /** Remembers the tasks of a batch under which backend servers have crashed. */
  save({ id, tasks }: Batch): void {
    const crashed = tasks.filter(({ crashes }) => crashes > 0);
    this.records.delete(id);
    this.records.set(id, { tasks: crashed, until: this.timer.now() + KEPT_MS });
    this.forget();
  }

  /** Tells the tasks of a batch what is remembered of them; false when that is nothing. */
  restore({ id, tasks }: Batch): boolean {
    const record = this.records.get(id);
    if (!record || record.until < this.timer.now()) return false;
    record.tasks.forEach(({ stepNumber, index, crashes, suspicion, excused, failedAt }) => {
      const task = tasks.find((each) => each.stepNumber === stepNumber && each.index === index);
      if (task) Object.assign(task, { crashes, suspicion, excused, failedAt });
    });
    return true;
  }

  private forget(): void {
    const now = this.timer.now();
    for (const [id, { until }] of this.records) {
      if (until > now && this.records.size <= MOST) return;
      this.records.delete(id);
    }
  }
}

/** Callers come back within seconds, ms. */
const KEPT_MS = 60_000;

/** Batches remembered at most; each has a few tasks. */
const MOST = 2_000;
