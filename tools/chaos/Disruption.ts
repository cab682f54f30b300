/** A fault injected into a process or the platform stand-in, or its end. */
export default interface Disruption {
  /** Monotonic time, in milliseconds. */
  readonly at: number;
  readonly kind: string;
  readonly target: string;
}
