import type { Start, TaskId } from '../gen/magnoliakeel/v1/peer_pb';
import type LedgerJob from './LedgerJob';
import type LedgerTask from './LedgerTask';

/** Estimated memory of a job and of a task in it, without the task's output. */
const JOB_BYTES = 700;
const TASK_BYTES = 250;
const INDEX_RANGE = 2 ** 32;

interface LedgerOptions {
  /** Memory that records may take. Outputs of running tasks can exceed it by their size. */
  readonly maxBytes: number;
  /** How long after its creation a job of the service is kept, milliseconds. */
  readonly retentionMs: (service: string) => number;
  /** By how much clocks may differ, milliseconds. */
  readonly skewMs: number;
}

/**
 * The evidence of what was started here. A start is recorded before the
 * backend server is called, and kept with its result until nobody may ask for
 * the job any more. When the memory for it is used up, nothing is forgotten
 * early: `hasRoom` turns false and starts are refused.
 */
export default class Ledger {
  private readonly jobs = new Map<string, LedgerJob>();

  private bytes = 0;

  private constructor(private readonly opts: LedgerOptions) {}

  /** Creates an empty ledger. */
  static create(opts: LedgerOptions): Ledger {
    return new Ledger(opts);
  }

  /** Estimated memory in use. */
  get usedBytes(): number {
    return this.bytes;
  }

  /** Whether another start can be recorded. */
  get hasRoom(): boolean {
    return this.bytes + JOB_BYTES + TASK_BYTES <= this.opts.maxBytes;
  }

  /** The record of a job, if anything of it was started here. */
  job(key: string): LedgerJob | undefined {
    return this.jobs.get(key);
  }

  /** The record of one attempt of a task. */
  find(task: TaskId): LedgerTask | undefined {
    return this.jobs.get(task.job)?.tasks.get(taskKey(task));
  }

  /** All jobs on record. */
  all(): IterableIterator<LedgerJob> {
    return this.jobs.values();
  }

  /** Records a start. The attempt must not be on record yet. */
  record(task: TaskId, start: Start): LedgerTask {
    const job = this.jobs.get(task.job) ?? this.open(task.job, start);
    job.owner = start.owner;
    const record: LedgerTask = { index: task.index, attempt: task.attempt };
    job.tasks.set(taskKey(task), record);
    this.bytes += TASK_BYTES;
    return record;
  }

  /** Adds the result of a started task. The first result stays. */
  finish(record: LedgerTask, result: NonNullable<LedgerTask['result']>): void {
    if (record.result) return;
    Object.assign(record, { result });
    this.bytes += resultBytes(record);
  }

  /** Removes a start that is proven not to have reached the backend server. */
  strike(task: TaskId): void {
    const job = this.jobs.get(task.job);
    const record = job?.tasks.get(taskKey(task));
    if (!job || !record) return;
    job.tasks.delete(taskKey(task));
    this.bytes -= TASK_BYTES + resultBytes(record);
    if (job.tasks.size === 0) this.remove(job);
  }

  /** Drops the jobs whose retention has passed and that run no task; `wallMs` is the time now. */
  expire(wallMs: number): void {
    this.jobs.forEach((job) => {
      const keptMs = job.createdMs + this.opts.retentionMs(job.service) + this.opts.skewMs;
      if (keptMs > wallMs || isRunning(job)) return;
      this.remove(job);
    });
  }

  private open(key: string, start: Start): LedgerJob {
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

  private remove(job: LedgerJob): void {
    this.jobs.delete(job.job);
    this.bytes -= JOB_BYTES;
    job.tasks.forEach((record) => {
      this.bytes -= TASK_BYTES + resultBytes(record);
    });
  }
}

function taskKey(task: TaskId): number {
  return task.attempt * INDEX_RANGE + task.index;
}

function isRunning(job: LedgerJob): boolean {
  return [...job.tasks.values()].some((record) => !record.result);
}

function resultBytes(record: LedgerTask): number {
  if (!record.result) return 0;
  return record.result.output.byteLength + record.result.reason.length;
}
