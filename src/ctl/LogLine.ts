/** A structured log line that a process wrote. */
export default interface LogLine {
  /** The process that wrote it: the name in front of the line, or else the name of its file. */
  readonly process: string;
  /** When it was written, ms since the epoch. */
  readonly timeMs: number;
  readonly level: string;
  readonly message: string;
  /** All other fields of the line. */
  readonly fields: Readonly<Record<string, unknown>>;
}
