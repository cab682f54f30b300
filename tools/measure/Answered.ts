import type Arrival from './Arrival';

/** What became of an arrival. */
export default interface Answered {
  readonly arrival: Arrival;
  /** The outcome as the answer names it, or "broken" when the connection broke. */
  readonly outcome: string;
  /** From the time at which it was due to be submitted to its answer. */
  readonly responseMs: number;
}
