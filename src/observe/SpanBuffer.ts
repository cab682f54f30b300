import type { Resource } from '@opentelemetry/resources';
import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import type Metrics from './Metrics';
import serializeSpans from './serializeSpans';
import type Span from './Span';
import type SpanSink from './SpanSink';

/** Dependencies of a span buffer. */
interface SpanBufferOptions {
  readonly timer: TimerService;
  readonly metrics: Metrics;
  readonly sink: SpanSink;
  /** The OpenTelemetry resource that describes this process. */
  readonly resource: Resource;
}

/**
 * Holds ended spans until they are exported in batches, one batch at a time. Its size is fixed: spans
 * that arrive while it is full are dropped and counted, and so is a batch that could not be exported.
 */
export default class SpanBuffer {
  private spans: Span[] = [];

  private exporting: Promise<void> | undefined;

  private readonly interval: Subscription;

  private constructor(private readonly options: SpanBufferOptions) {
    this.interval = options.timer.every(FLUSH_INTERVAL_MS, () => this.flush());
  }

  /** Creates an empty buffer and starts its regular export. */
  static create(options: SpanBufferOptions): SpanBuffer {
    return new SpanBuffer(options);
  }

  /** Adds a span that has ended. */
  add(span: Span): void {
    if (this.spans.length >= MAX_SPANS) {
      this.options.metrics.add('spans_dropped_total', 1, 'full');
      return;
    }
    this.spans.push(span);
    if (this.spans.length === BATCH_SIZE) setImmediate(() => this.flush());
  }

  /** Exports the remaining spans, for `CLOSE_TIMEOUT_MS` at most, and stops the regular export. */
  async close(): Promise<void> {
    this.interval.cancel();
    const { timer } = this.options;
    await Promise.race([this.drain(), timer.sleep(CLOSE_TIMEOUT_MS)]);
  }

  private async drain(): Promise<void> {
    while (this.spans.length > 0 || this.exporting) {
      this.flush();
      await this.exporting;
    }
  }

  private flush(): void {
    if (this.exporting || this.spans.length === 0) return;
    const batch = this.spans.slice(0, BATCH_SIZE);
    this.spans = this.spans.slice(BATCH_SIZE);
    this.exporting = this.export(batch).finally(() => {
      this.exporting = undefined;
      if (this.spans.length >= BATCH_SIZE) setImmediate(() => this.flush());
    });
  }

  private async export(batch: readonly Span[]): Promise<void> {
    const { sink, metrics, resource } = this.options;
    const exported = await sink.exportBatch(serializeSpans(batch, resource));
    if (exported.isOk()) metrics.add('spans_exported_total', batch.length);
    else metrics.add('spans_dropped_total', batch.length, 'failed');
  }
}

const MAX_SPANS = 4096;
const BATCH_SIZE = 256;
const FLUSH_INTERVAL_MS = 1000;
const CLOSE_TIMEOUT_MS = 1000;
