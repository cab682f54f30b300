import type SimulatedCall from '../support/SimulatedCall';

/** What happens in a replay, at which time after its start; faults last for a while. */
type TraceEvent =
  | { readonly at: number; readonly ask: SimulatedCall }
  | {
      readonly at: number;
      readonly fault:
        'kill' | 'pause' | 'leave' | 'backend' | 'cut' | 'halfOpen' | 'late' | 'store';
      /** The processes it applies to: one, or two for a link. */
      readonly on: readonly string[];
      readonly forMs: number;
      /** What the store suffers from. */
      readonly store?: 'down' | 'slow' | 'answerLost';
    };

/** Submissions, cancels and faults by time, and what is to come of each id. */
export default interface Trace {
  readonly events: readonly TraceEvent[];
  /** For each id the last outcome told to its callers and the number of starts. */
  readonly outcomes?: Readonly<Record<string, string>>;
}
