import type RunId from './RunId';

/** What a backend server says of its runs. */
export default interface BackendPollResult {
  /** When the life that says so started, whole ms since 1970, if it tells. */
  readonly born?: number;
  readonly running: readonly {
    readonly run: RunId;
    /** How much of its work is done, 0 to 100. */
    readonly percent: number;
  }[];
  /** Ends that were not yet acknowledged, oldest first. */
  readonly ended: readonly {
    /** Counts the ends in this life of the backend server, from 1. */
    readonly number: number;
    readonly run: RunId;
    readonly how: 'done' | 'failed' | 'lost';
    /** The backend server's word for it. */
    readonly reason: string;
  }[];
}
