import type { ConsolaReporter, LogObject } from 'consola';
import describeError from './describeError';

/** Makes each log line one JSON object: time, level, message and the line's own fields. */
export default class JsonReporter implements ConsolaReporter {
  private constructor(private readonly put: (line: string) => void) {}

  /** Creates a reporter that writes to the stream. */
  static to(stream: NodeJS.WritableStream): JsonReporter {
    return new JsonReporter((line) => stream.write(`${line}\n`));
  }

  /** Creates a reporter that hands each line, without its end, to the function. */
  static with(put: (line: string) => void): JsonReporter {
    return new JsonReporter(put);
  }

  log(line: LogObject): void {
    const texts = line.args.filter((arg) => !isFields(arg)).map(textOf);
    const fields = Object.assign({}, ...line.args.filter(isFields));
    const head = { time: line.date.toISOString(), level: line.type, message: texts.join(' ') };
    this.put(JSON.stringify({ ...fields, ...head }, encode));
  }
}

function isFields(arg: unknown): boolean {
  return typeof arg === 'object' && arg !== null && !(arg instanceof Error);
}

function textOf(arg: unknown): string {
  return arg instanceof Error ? (arg.stack ?? arg.message) : String(arg);
}

/** The field "error" is of an error that nobody foresaw, of which all is told; others are reasons. */
function encode(key: string, value: unknown): unknown {
  if (typeof value === 'bigint') return value.toString();
  if (!(value instanceof Error)) return value;
  return key === 'error' ? describeError(value) : value.message;
}
