import type Arrival from './Arrival';

/** How an arrival was answered. */
export default interface AnsweredArrival {
  readonly arrival: Arrival;
  /** Outcome in the answer's header (otherwise its status code), or "broken" when the connection broke. */
  readonly outcome: string;
  /** Time from the scheduled submission to the answer, in milliseconds. */
  readonly responseMs: number;
}
