import type SimulatedCall from '../support/SimulatedCall';

/** An action at a time after the start of a replay, in ms; faults last for `forMs`. */
type TraceEvent =
  | { readonly at: number; readonly ask: SimulatedCall }
  | {
      readonly at: number;
      readonly fault:
        'kill' | 'pause' | 'leave' | 'backend' | 'cut' | 'halfOpen' | 'late' | 'store';
      /** The processes affected: one, or the two ends of a link. */
      readonly on: readonly string[];
      readonly forMs: number;
      /** The kind of a store fault. */
      readonly store?: 'down' | 'slow' | 'answerLost';
    };

/** Submissions, cancellations and faults by time, and the expected outcome of each id. */
export default interface Trace {
  readonly events: readonly TraceEvent[];
  /** For each id, the last outcome sent to its callers and the number of starts. */
  readonly outcomes?: Readonly<Record<string, string>>;
}
