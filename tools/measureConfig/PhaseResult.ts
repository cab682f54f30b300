/** How long changes took to be in force at every process, in milliseconds. */
export default interface PhaseResult {
  readonly phase: string;
  readonly changes: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
  /** Pairs of a change and a process where it never was in force. */
  readonly missing: number;
}
