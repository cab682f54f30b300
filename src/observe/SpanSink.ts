import type { ResultAsync } from 'neverthrow';

/** A destination of exported spans. */
export default interface SpanSink {
  /** Exports a batch, given as the JSON text of an OTLP export request. The error is the reason of a failure. */
  exportBatch(batch: Uint8Array): ResultAsync<void, string>;
}
