import type { Start, TaskId } from '../gen/magnoliakeel/v1/peer_pb';
import type LedgerJob from './LedgerJob';
import type LedgerTask from './LedgerTask';

/** Estimated memory of a job's record and of a task's record, without the task's output. */
const JOB_BYTES = 700;
const TASK_BYTES = 250;
/** Task indexes are 32-bit, so a key holds the attempt above them. */
const INDEX_RANGE = 2 ** 32;

interface LedgerOptions {
  /** Memory limit of the records, bytes. Outputs of tasks that were running when it was reached can exceed it. */
  readonly maxBytes: number;
  /** How long after its creation a job's record is kept, by service, milliseconds. */
  readonly retentionMs: (service: string) => number;
  /** Upper bound on the difference between clocks, milliseconds. */
  readonly skewMs: number;
}

/**
 * Record of all tasks started at this sidecar. A start is recorded before the
 * backend server is called, and kept with its result until the job's retention
 * has passed. Nothing is evicted when the memory limit is reached: `hasCapacity`
 * turns false and starts are refused.
 */
export default class Ledger {
  private readonly jobs = new Map<string, LedgerJob>();

  private bytes = 0;

  private constructor(private readonly opts: LedgerOptions) {}

  /** Creates an empty ledger. */
  static create(opts: LedgerOptions): Ledger {
    return new Ledger(opts);
  }

  /** Estimated memory in use, bytes. */
  get usedBytes(): number {
    return this.bytes;
  }

  /** Whether another start can be recorded. */
  get hasCapacity(): boolean {
    return this.bytes + JOB_BYTES + TASK_BYTES <= this.opts.maxBytes;
  }

  /** The record of a job; undefined when none of its tasks was started here. */
  findJob(key: string): LedgerJob | undefined {
    return this.jobs.get(key);
  }

  /** The record of one attempt of a task; undefined when it was not started here. */
  findTask(task: TaskId): LedgerTask | undefined {
    return this.jobs.get(task.job)?.tasks.get(taskKeyOf(task));
  }

  /** Records of all jobs. */
  allJobs(): IterableIterator<LedgerJob> {
    return this.jobs.values();
  }

  /** Records a start. The attempt must not be recorded yet. */
  recordStart(task: TaskId, start: Start): LedgerTask {
    const job = this.jobs.get(task.job) ?? this.addJob(task.job, start);
    job.owner = start.owner;
    const record: LedgerTask = { index: task.index, attempt: task.attempt };
    job.tasks.set(taskKeyOf(task), record);
    this.bytes += TASK_BYTES;
    return record;
  }

  /** Records the result of a started task. A later result is ignored. */
  recordResult(record: LedgerTask, result: NonNullable<LedgerTask['result']>): void {
    if (record.result) return;
    Object.assign(record, { result });
    this.bytes += resultBytes(record);
  }

  /** Removes a start that is known not to have reached the backend server. */
  removeStart(task: TaskId): void {
    const job = this.jobs.get(task.job);
    const record = job?.tasks.get(taskKeyOf(task));
    if (!job || !record) return;
    job.tasks.delete(taskKeyOf(task));
    this.bytes -= TASK_BYTES + resultBytes(record);
    if (job.tasks.size === 0) this.removeJob(job);
  }

  /** Removes jobs whose retention has passed and that have no running task; `wallMs` is the wall-clock time. */
  expire(wallMs: number): void {
    this.jobs.forEach((job) => {
      const expiresAtMs = job.createdMs + this.opts.retentionMs(job.service) + this.opts.skewMs;
      if (expiresAtMs > wallMs || isRunning(job)) return;
      this.removeJob(job);
    });
  }

  private addJob(key: string, start: Start): LedgerJob {
    const job: LedgerJob = {
      job: key,
      service: start.service,
      digest: start.digest,
      size: start.jobSize,
      createdMs: Number(start.createdMs),
      owner: start.owner,
      tasks: new Map(),
    };
    this.jobs.set(key, job);
    this.bytes += JOB_BYTES;
    return job;
  }

  private removeJob(job: LedgerJob): void {
    this.jobs.delete(job.job);
    this.bytes -= JOB_BYTES;
    job.tasks.forEach((record) => {
      this.bytes -= TASK_BYTES + resultBytes(record);
    });
  }
}

function taskKeyOf(task: TaskId): number {
  return task.attempt * INDEX_RANGE + task.index;
}

function isRunning(job: LedgerJob): boolean {
  return [...job.tasks.values()].some((record) => !record.result);
}

function resultBytes(record: LedgerTask): number {
  if (!record.result) return 0;
  return record.result.output.byteLength + record.result.reason.length;
}
