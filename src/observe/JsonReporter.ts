import type { ConsolaReporter, LogObject } from 'consola';

/**
 * Writes each log line as one JSON object: time, level, message and the line's own fields. A reader
 * that is behind never holds up the process: lines beyond the limit are counted and left out, and
 * the count is written once there is room again.
 */
export default class JsonReporter implements ConsolaReporter {
  private dropped = 0;

  private constructor(private readonly stream: LineStream) {}

  /** Creates a reporter that writes to the stream. */
  static to(stream: LineStream): JsonReporter {
    return new JsonReporter(stream);
  }

  log(line: LogObject): void {
    if ((this.stream.writableLength ?? 0) > MAX_WAITING_BYTES) {
      this.dropped += 1;
      return;
    }
    if (this.dropped > 0) this.tellDropped(line.date);
    const texts = line.args.filter((arg) => !isFields(arg)).map(textOf);
    const fields = Object.assign({}, ...line.args.filter(isFields));
    const head = { time: line.date.toISOString(), level: line.type, message: texts.join(' ') };
    this.write({ ...fields, ...head });
  }

  private tellDropped(date: Date): void {
    const lines = this.dropped;
    this.dropped = 0;
    const message = 'log lines were left out because the reader was behind';
    this.write({ lines, time: date.toISOString(), level: 'warn', message });
  }

  private write(line: object): void {
    this.stream.write(`${JSON.stringify(line, encode)}\n`);
  }
}

/** A stream that may know how much of what was written still waits, bytes. */
type LineStream = NodeJS.WritableStream & { readonly writableLength?: number };

/** Lines that wait for a reader, bytes: some seconds of a busy process. */
const MAX_WAITING_BYTES = 1024 * 1024;

function isFields(arg: unknown): boolean {
  return typeof arg === 'object' && arg !== null && !(arg instanceof Error);
}

function textOf(arg: unknown): string {
  return arg instanceof Error ? (arg.stack ?? arg.message) : String(arg);
}

function encode(_key: string, value: unknown): unknown {
  if (typeof value === 'bigint') return value.toString();
  return value instanceof Error ? value.message : value;
}
