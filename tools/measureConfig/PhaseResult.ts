/** Delays, in milliseconds, until the changes of a phase took effect, over all processes. */
export default interface PhaseResult {
  readonly phase: string;
  readonly changes: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
  /** Number of pairs of a change and a process at which it never took effect. */
  readonly missing: number;
}
