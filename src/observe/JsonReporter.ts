import type { ConsolaReporter, LogObject } from 'consola';
import describeError from './describeError';

/** Formats each log line as one JSON object: time, level, message and the line's own fields. */
export default class JsonReporter implements ConsolaReporter {
  private constructor(private readonly writeLine: (line: string) => void) {}

  /** Creates a reporter that writes to the stream. */
  static to(stream: NodeJS.WritableStream): JsonReporter {
    return new JsonReporter((line) => stream.write(`${line}\n`));
  }

  /** Creates a reporter that passes each line, without its line break, to the function. */
  static with(writeLine: (line: string) => void): JsonReporter {
    return new JsonReporter(writeLine);
  }

  log(line: LogObject): void {
    const texts = line.args.filter((arg) => !isFields(arg)).map(formatArg);
    const fields = Object.assign({}, ...line.args.filter(isFields));
    const head = { time: line.date.toISOString(), level: line.type, message: texts.join(' ') };
    this.writeLine(JSON.stringify({ ...fields, ...head }, encodeValue));
  }
}

function isFields(arg: unknown): boolean {
  return typeof arg === 'object' && arg !== null && !(arg instanceof Error);
}

function formatArg(arg: unknown): string {
  return arg instanceof Error ? (arg.stack ?? arg.message) : String(arg);
}

/** The field "error" holds an unexpected error, which is written in full; of other errors only the message is. */
function encodeValue(key: string, value: unknown): unknown {
  if (typeof value === 'bigint') return value.toString();
  if (!(value instanceof Error)) return value;
  return key === 'error' ? describeError(value) : value.message;
}
