import type Attempt from './Attempt';

/** One thing that a caller wants done, with all its attempts to get it. */
export default interface Work {
  readonly id: string;
  readonly kind: 'job' | 'request';
  /** Whether the id is given to the system, so that it can tell a resubmission. */
  readonly keyed: boolean;
  readonly idempotent: boolean;
  /** Milliseconds that each task takes. */
  readonly taskMs: readonly number[];
  readonly madeAt: number;
  readonly attempts: Attempt[];
  finalAt: number | undefined;
  /** The final outcome as the caller understood it. */
  final: string | undefined;
}
