import type TimerService from '../core/TimerService';
import type Batch from './Batch';
import type BatchTask from './BatchTask';

/** The recorded state of one task. */
type TaskRecord = Pick<
  BatchTask,
  'stepNumber' | 'index' | 'crashes' | 'suspicion' | 'excused' | 'failedAt'
>;

/**
 * Records, by batch, the tasks under which backend servers have crashed. Callers resubmit a batch
 * that has no result: a task that crashes each backend server that starts it must not start from
 * zero with each submission.
 */
export default class CrashHistory {
  /** By batch id, oldest first. */
  private readonly records = new Map<string, { tasks: readonly TaskRecord[]; expiresAt: number }>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates an empty history. */
  static create(timer: TimerService): CrashHistory {
    return new CrashHistory(timer);
  }

  /** Records the tasks of a batch under which backend servers have crashed. */
  save({ id, tasks }: Batch): void {
    const crashed = tasks.filter(({ crashes }) => crashes > 0);
    this.records.delete(id);
    this.records.set(id, { tasks: crashed, expiresAt: this.timer.now() + RETENTION_MS });
    this.evict();
  }

  /** Restores the recorded state of a batch's tasks; false if there is none. */
  restore({ id, tasks }: Batch): boolean {
    const record = this.records.get(id);
    if (!record || record.expiresAt < this.timer.now()) return false;
    record.tasks.forEach(({ stepNumber, index, crashes, suspicion, excused, failedAt }) => {
      const task = tasks.find((each) => each.stepNumber === stepNumber && each.index === index);
      if (task) Object.assign(task, { crashes, suspicion, excused, failedAt });
    });
    return true;
  }

  private evict(): void {
    const now = this.timer.now();
    for (const [id, { expiresAt }] of this.records) {
      if (expiresAt > now && this.records.size <= MAX_BATCHES) return;
      this.records.delete(id);
    }
  }
}

/** Callers retry within seconds, ms. */
const RETENTION_MS = 60_000;

/** Upper bound of recorded batches; each has a few tasks. */
const MAX_BATCHES = 2_000;
