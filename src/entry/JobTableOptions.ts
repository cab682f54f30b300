import type TimerService from '../core/TimerService';
import type { Answer, Submission } from '../gen/magnoliakeel/v1/peer_pb';
import type EntryMetrics from '../observe/EntryMetrics';
import type RecoveredState from '../recovery/RecoveredState';

/** What the job table needs from the entry around it. */
export default interface JobTableOptions {
  readonly timer: TimerService;
  readonly metrics?: EntryMetrics;
  /** How far callers' clocks may be off. */
  readonly clockSkewMs: number;
  /** Whether this entry owns new jobs with the key in its newest view. */
  readonly ownsNew: (key: string) => boolean;
  /** Finds out what is known of a job that has no record here. */
  readonly resolve: (key: string, createdMs: number) => Promise<RecoveredState>;
  /**
   * The answer to a submission that can't be accepted now or ever, given the
   * bytes already kept and whether it continues a job.
   */
  readonly refuse: (
    submission: Submission,
    keptBytes: number,
    isContinued: boolean,
  ) => Answer | undefined;
  readonly retentionOf: (service: string) => number;
  readonly taskTimeoutOf: (service: string) => number;
  readonly jobTimeoutOf: (service: string) => number;
}
