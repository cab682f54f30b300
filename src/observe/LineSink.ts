import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import type SpanSink from './SpanSink';

/** Writes each batch of spans as one line to a stream; a stream that is behind takes none. */
export default class LineSink implements SpanSink {
  private constructor(private readonly stream: NodeJS.WriteStream) {}

  /** Creates the sink for a stream. */
  static to(stream: NodeJS.WriteStream): LineSink {
    return new LineSink(stream);
  }

  take(batch: Uint8Array): ResultAsync<void, string> {
    if (this.stream.writableNeedDrain) return errAsync('the stream is behind');
    this.stream.write(`${Buffer.from(batch).toString()}\n`);
    return okAsync();
  }
}
