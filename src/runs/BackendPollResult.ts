import type RunId from './RunId';

/** What a backend server reports of its runs. */
export default interface BackendPollResult {
  /** When the answering incarnation started, whole ms since 1970, if it reports that. */
  readonly born?: number;
  readonly running: readonly {
    readonly run: RunId;
    /** How much of the work is done, 0 to 100. */
    readonly percent: number;
  }[];
  /** Ends that were not yet acknowledged, oldest first. */
  readonly ended: readonly {
    /** Counts the ends in this incarnation of the backend server, from 1. */
    readonly number: number;
    readonly run: RunId;
    readonly how: 'done' | 'failed' | 'lost';
    /** The reason that the backend server gives. */
    readonly reason: string;
  }[];
}
