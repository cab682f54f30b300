import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import type SpanSink from './SpanSink';

/** Writes each batch of spans as one line to a stream; fails while the stream's buffer is full. */
export default class LineSink implements SpanSink {
  private constructor(private readonly stream: NodeJS.WriteStream) {}

  /** Creates the sink for a stream. */
  static to(stream: NodeJS.WriteStream): LineSink {
    return new LineSink(stream);
  }

  exportBatch(batch: Uint8Array): ResultAsync<void, string> {
    if (this.stream.writableNeedDrain) return errAsync('the buffer of the output stream is full');
    this.stream.write(`${Buffer.from(batch).toString()}\n`);
    return okAsync();
  }
}
