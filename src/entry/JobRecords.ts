import type { JobRecord } from '../gen/magnoliakeel/v1/peer_pb';
import Job from './Job';

/** The records of an entry's jobs by key, open and answered ones, and the memory that they use. */
export default class JobRecords {
  private readonly jobs = new Map<string, Job>();

  private bytes = 0;

  private constructor() {}

  /** Creates an empty set of records. */
  static create(): JobRecords {
    return new JobRecords();
  }

  /** Number of records. */
  get size(): number {
    return this.jobs.size;
  }

  /** Memory that the records use, in bytes: of an open job its inputs, of an answered one its answer. */
  get keptBytes(): number {
    return this.bytes;
  }

  /** The record of a job, if there is one. */
  find(key: string): Job | undefined {
    return this.jobs.get(key);
  }

  /** Adds the record of a job that was accepted. */
  addOpen(job: Job): void {
    this.jobs.set(job.key, job);
    this.bytes += job.inputBytes;
  }

  /** Counts a job that now has its answer in place of its inputs. */
  recordAnswered(job: Job): void {
    this.bytes += job.bytes - job.inputBytes;
  }

  /** Removes a job's record, unless the job has another one by now. */
  drop(job: Job): void {
    if (this.jobs.get(job.key) !== job) return;
    this.jobs.delete(job.key);
    this.bytes -= job.bytes;
  }

  /** Removes the answered jobs for which the predicate is true. */
  dropAnswered(isExpired: (job: Job) => boolean): void {
    this.jobs.forEach((job) => {
      if (job.isAnswered && isExpired(job)) this.drop(job);
    });
  }

  /** Adds the records that another entry hands over, except of jobs that are known here. */
  import(records: readonly JobRecord[]): void {
    records.forEach((record) => {
      if (!record.answer || this.jobs.has(record.job)) return;
      const job = Job.fromRecord(record, record.answer);
      this.jobs.set(job.key, job);
      this.bytes += job.bytes;
    });
  }

  /** The records of answered jobs, for a handover. */
  get answered(): JobRecord[] {
    return [...this.jobs.values()]
      .map(({ record }) => record)
      .filter((record) => record !== undefined);
  }

  /** Keys of the jobs that had tasks on a sidecar. */
  keysOnSidecar(sidecar: string): string[] {
    return [...this.jobs.values()]
      .filter((job) => job.taskSidecars.includes(sidecar))
      .map((job) => job.key);
  }
}
