import {
  type Attributes,
  type SpanContext,
  type SpanKind,
  SpanStatusCode,
} from '@opentelemetry/api';

/** Properties that a span has from its start. Times are wall-clock milliseconds with fractions. */
interface SpanOptions {
  readonly name: string;
  readonly kind: SpanKind;
  readonly context: SpanContext;
  /** The parent span; undefined for the root of a trace. */
  readonly parent: SpanContext | undefined;
  readonly startMs: number;
  /** Called with the span once it has ended and its end time is set. */
  readonly onEnd: (span: Span) => void;
  readonly now: () => number;
}

/** One hop of a traced request. */
export default class Span {
  readonly attributes: Attributes = {};

  failure: string | undefined;

  endMs = 0;

  private constructor(private readonly options: SpanOptions) {}

  /** Starts a span. */
  static begin(options: SpanOptions): Span {
    return new Span(options);
  }

  get name(): string {
    return this.options.name;
  }

  get kind(): SpanKind {
    return this.options.kind;
  }

  get context(): SpanContext {
    return this.options.context;
  }

  get parent(): SpanContext | undefined {
    return this.options.parent;
  }

  get startMs(): number {
    return this.options.startMs;
  }

  /** The `traceparent` value that makes spans of the next process or hop children of this one. */
  get traceparent(): string {
    const { traceId, spanId } = this.context;
    return `00-${traceId}-${spanId}-01`;
  }

  /** The status code for the export. */
  get status(): SpanStatusCode {
    return this.failure === undefined ? SpanStatusCode.UNSET : SpanStatusCode.ERROR;
  }

  /** Sets attributes of the span. Names get the prefix `magnoliakeel.`. */
  set(attributes: Readonly<Record<string, string | number | boolean>>): this {
    Object.entries(attributes).forEach(([name, value]) => {
      this.attributes[`magnoliakeel.${name}`] = value;
    });
    return this;
  }

  /** Marks the hop as failed. */
  fail(reason: string): this {
    this.failure = reason;
    return this;
  }

  /** Ends the span and passes it on for export; later calls do nothing. */
  end(): void {
    if (this.endMs > 0) return;
    this.endMs = Math.max(this.options.now(), this.startMs);
    this.options.onEnd(this);
  }
}
