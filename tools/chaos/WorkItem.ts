import type CallerAttempt from './CallerAttempt';

/** A job or request of a caller, with all attempts to submit or cancel it. */
export default interface WorkItem {
  readonly id: string;
  readonly kind: 'job' | 'request';
  /** Whether the id is sent to the system, so that it can recognize a resubmission. */
  readonly keyed: boolean;
  readonly idempotent: boolean;
  /** Run time of each task, in milliseconds. */
  readonly taskMs: readonly number[];
  readonly createdAt: number;
  readonly attempts: CallerAttempt[];
  finalAt: number | undefined;
  /** The outcome that the caller treated as final; undefined while there is none. */
  finalOutcome: string | undefined;
}
