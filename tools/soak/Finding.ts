/** A violated guarantee. */
export default interface Finding {
  /** When it was found, ms since the start of the run. */
  readonly atMs: number;
  readonly kind: string;
  readonly what: string;
}
