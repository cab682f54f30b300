import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { Pool } from 'undici';
import type SpanSink from './SpanSink';

const TIMEOUT_MS = 5000;

/** Posts batches of spans to a collector, as OTLP over HTTP with JSON bodies. */
export default class OtlpSink implements SpanSink {
  private readonly pool: Pool;

  private constructor(private readonly url: URL) {
    this.pool = new Pool(url.origin, {
      connections: 1,
      connect: { timeout: TIMEOUT_MS },
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
  }

  /** Creates the sink for a URL; it connects with the first batch. */
  static to(url: string): OtlpSink {
    return new OtlpSink(new URL(url));
  }

  exportBatch(batch: Uint8Array): ResultAsync<void, string> {
    return ResultAsync.fromPromise(this.post(batch), (error) => (error as Error).message).andThen(
      (status) => (status >= 200 && status < 300 ? okAsync() : errAsync(`status ${status}`)),
    );
  }

  private async post(batch: Uint8Array): Promise<number> {
    const { statusCode, body } = await this.pool.request({
      method: 'POST',
      path: `${this.url.pathname}${this.url.search}`,
      headers: { 'content-type': 'application/json' },
      body: batch,
    });
    await body.dump();
    return statusCode;
  }
}
