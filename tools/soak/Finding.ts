/** A promise that was broken. */
export default interface Finding {
  /** When it showed, ms since the run began. */
  readonly atMs: number;
  readonly kind: string;
  readonly what: string;
}
