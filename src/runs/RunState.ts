import type RunId from './RunId';
import type RunRequest from './RunRequest';
import type StopRequest from './StopRequest';

/** A run that takes room at the backend server: being started, running, or being stopped. */
export default interface RunState {
  readonly request: RunRequest;
  readonly run: RunId;
  /** When its start was first sent, by the timer service. */
  readonly startedAt: number;
  /** Whether a start that was sent may have been carried out, or may still be. */
  mayHaveStarted: boolean;
  /** Whether the backend server has confirmed it or listed it. */
  isConfirmed: boolean;
  /** Number of the last look that was sent before it was confirmed; later ones must list it. */
  confirmedAtPoll: number;
  /** The stop that has been asked for, if one has: its end is no result then. */
  stop: StopRequest | undefined;
  /** How much of its work was done at the last look, 0 to 100. */
  percentDone: number;
}
