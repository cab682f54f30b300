import type { Resource } from '@opentelemetry/resources';
import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import type Metrics from './Metrics';
import serializeSpans from './serializeSpans';
import type Span from './Span';
import type SpanSink from './SpanSink';

/** What a span buffer is made of. */
interface SpanBufferOptions {
  readonly timer: TimerService;
  readonly metrics: Metrics;
  readonly sink: SpanSink;
  /** What all spans of this process tell of it. */
  readonly resource: Resource;
}

/**
 * Holds ended spans until they are exported in batches, one at a time. It takes a fixed number; what
 * comes while it is full is dropped and counted, and so is a batch that could not be exported.
 */
export default class SpanBuffer {
  private spans: Span[] = [];

  private exporting: Promise<void> | undefined;

  private readonly interval: Subscription;

  private constructor(private readonly options: SpanBufferOptions) {
    this.interval = options.timer.every(FLUSH_MS, () => this.flush());
  }

  /** Creates an empty buffer that exports from now on. */
  static create(options: SpanBufferOptions): SpanBuffer {
    return new SpanBuffer(options);
  }

  /** Takes a span that has ended. */
  add(span: Span): void {
    if (this.spans.length >= LIMIT) {
      this.options.metrics.add('spans_dropped_total', 1, 'full');
      return;
    }
    this.spans.push(span);
    if (this.spans.length === BATCH) setImmediate(() => this.flush());
  }

  /** Exports what there is, for a short time at most, and stops. */
  async close(): Promise<void> {
    this.interval.cancel();
    const { timer } = this.options;
    await Promise.race([this.drain(), timer.sleep(CLOSE_MS)]);
  }

  private async drain(): Promise<void> {
    while (this.spans.length > 0 || this.exporting) {
      this.flush();
      await this.exporting;
    }
  }

  private flush(): void {
    if (this.exporting || this.spans.length === 0) return;
    const batch = this.spans.slice(0, BATCH);
    this.spans = this.spans.slice(BATCH);
    this.exporting = this.export(batch).finally(() => {
      this.exporting = undefined;
      if (this.spans.length >= BATCH) setImmediate(() => this.flush());
    });
  }

  private async export(batch: readonly Span[]): Promise<void> {
    const { sink, metrics, resource } = this.options;
    const taken = await sink.take(serializeSpans(batch, resource));
    if (taken.isOk()) metrics.add('spans_exported_total', batch.length);
    else metrics.add('spans_dropped_total', batch.length, 'failed');
  }
}

const LIMIT = 4096;
const BATCH = 256;
const FLUSH_MS = 1000;
const CLOSE_MS = 1000;
