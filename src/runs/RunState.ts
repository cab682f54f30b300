import type RunId from './RunId';
import type RunRequest from './RunRequest';
import type StopRequest from './StopRequest';

/** A run that occupies capacity at the backend server: being started, running, or being stopped. */
export default interface RunState {
  readonly request: RunRequest;
  readonly run: RunId;
  /** When its start was first sent, by the timer service. */
  readonly startedAt: number;
  /** Whether a start that was sent may have been executed, or may still be. */
  mayHaveStarted: boolean;
  /** Whether the backend server has confirmed or listed it. */
  isConfirmed: boolean;
  /** Number of the last poll sent before it was confirmed; later ones must list it. */
  confirmedAtPoll: number;
  /** The stop that was requested, if any: its end is not a result then. */
  stop: StopRequest | undefined;
  /** How much of its work was done at the last poll, 0 to 100. */
  percentDone: number;
}
