import type { ResultAsync } from 'neverthrow';

/** Where exported spans go. */
export default interface SpanSink {
  /** Takes a batch as the JSON text of an OTLP export request. The error says why it could not. */
  take(batch: Uint8Array): ResultAsync<void, string>;
}
