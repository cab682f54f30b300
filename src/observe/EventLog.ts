/** A log of decisions and state changes: a message and the values that explain it. */
export default interface EventLog {
  info(message: string, fields: Readonly<Record<string, unknown>>): void;
  warn(message: string, fields: Readonly<Record<string, unknown>>): void;
}
