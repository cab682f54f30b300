import type TimerService from '../core/TimerService';
import type { Answer, JobRecord, Submission } from '../gen/magnoliakeel/v1/peer_pb';
import type EntryMetrics from '../observe/EntryMetrics';
import type RecoveredState from '../recovery/RecoveredState';

/** Dependencies of the job table. */
export default interface JobTableOptions {
  readonly timer: TimerService;
  readonly metrics?: EntryMetrics;
  /** Maximum deviation of callers' clocks, in milliseconds. */
  readonly clockSkewMs: number;
  /** Whether this entry owns new jobs with the key, in its newest view. */
  readonly ownsKey: (key: string) => boolean;
  /** Recovers what other processes know of a job that has no record here. */
  readonly recover: (key: string, createdMs: number) => Promise<RecoveredState>;
  /** Copies the record of a cancelled job to other entries; resolves when they have it, or after a time-out. */
  readonly saveCancelled: (record: JobRecord) => Promise<void>;
  /**
   * The answer to a submission that can't be accepted, now or ever; undefined for
   * one that can. `keptBytes` is the memory that records use already; `isContinued`
   * tells whether the submission continues a job.
   */
  readonly refusalFor: (
    submission: Submission,
    keptBytes: number,
    isContinued: boolean,
  ) => Answer | undefined;
  readonly retentionMsOf: (service: string) => number;
  readonly taskTimeoutMsOf: (service: string) => number;
  readonly jobTimeoutMsOf: (service: string) => number;
}
