/** Where the decisions about runs are written: a sentence and the values that led to it. */
export default interface RunLog {
  info(message: string, fields: Readonly<Record<string, unknown>>): void;
  warn(message: string, fields: Readonly<Record<string, unknown>>): void;
}
