/** One structured log line of a process. */
export default interface LogLine {
  /** The process that wrote it: what stands before the line, or the file it was in. */
  readonly process: string;
  /** When it was written, ms since the epoch. */
  readonly timeMs: number;
  readonly level: string;
  readonly message: string;
  /** Everything else on the line. */
  readonly fields: Readonly<Record<string, unknown>>;
}
