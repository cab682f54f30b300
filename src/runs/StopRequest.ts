import type StopCause from './StopCause';

/** A stop that was asked for. */
export default interface StopRequest {
  readonly cause: StopCause;
  /** When, by the timer service. */
  readonly requestedAt: number;
}
