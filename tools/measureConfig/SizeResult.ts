import type PhaseResult from './PhaseResult';

/** The measurement at one size. */
export default interface SizeResult {
  readonly entries: number;
  readonly sidecars: number;
  readonly phases: readonly PhaseResult[];
  readonly reversions: readonly string[];
  readonly conflicts: number;
  /** Store calls a second of one entry in quiet, by kind. */
  readonly quietCalls: Readonly<Record<string, number>>;
  /** Store calls of one entry for each change, by kind, in a burst. */
  readonly burstCalls: Readonly<Record<string, number>>;
  /** Store calls of all sidecars together. */
  readonly sidecarCalls: number;
}
