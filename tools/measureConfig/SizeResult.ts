import type PhaseResult from './PhaseResult';

/** Results of the measurement with one number of processes. */
export default interface SizeResult {
  readonly entries: number;
  readonly sidecars: number;
  readonly phases: readonly PhaseResult[];
  readonly reversions: readonly string[];
  readonly conflicts: number;
  /** Store calls per second and entry without changes, by kind. */
  readonly quietCalls: Readonly<Record<string, number>>;
  /** Store calls per entry and change in a burst, by kind. */
  readonly burstCalls: Readonly<Record<string, number>>;
  /** Total number of store calls of all sidecars. */
  readonly sidecarCalls: number;
}
