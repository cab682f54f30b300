/** Where decisions and changes are written: a sentence and the values that led to it. */
export default interface EventLog {
  info(message: string, fields: Readonly<Record<string, unknown>>): void;
  warn(message: string, fields: Readonly<Record<string, unknown>>): void;
}
