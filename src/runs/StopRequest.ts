import type StopCause from './StopCause';

/** A request to stop a run. */
export default interface StopRequest {
  readonly cause: StopCause;
  /** When it was made, by the timer service. */
  readonly requestedAt: number;
}
