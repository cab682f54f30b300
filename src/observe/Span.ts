import {
  type Attributes,
  type SpanContext,
  type SpanKind,
  SpanStatusCode,
} from '@opentelemetry/api';

/** Parts that a span has from its beginning. Times are wall-clock milliseconds with fractions. */
interface Beginning {
  readonly name: string;
  readonly kind: SpanKind;
  readonly context: SpanContext;
  /** The span that this one is part of; undefined for the first of a trace. */
  readonly parent: SpanContext | undefined;
  readonly startMs: number;
  /** Takes the span once it has ended, with the time of its end. */
  readonly ended: (span: Span) => void;
  readonly now: () => number;
}

/** One hop of a traced request while it is under way. */
export default class Span {
  readonly attributes: Attributes = {};

  failure: string | undefined;

  endMs = 0;

  private constructor(private readonly beginning: Beginning) {}

  /** Begins a span. */
  static begin(beginning: Beginning): Span {
    return new Span(beginning);
  }

  get name(): string {
    return this.beginning.name;
  }

  get kind(): SpanKind {
    return this.beginning.kind;
  }

  get context(): SpanContext {
    return this.beginning.context;
  }

  get parent(): SpanContext | undefined {
    return this.beginning.parent;
  }

  get startMs(): number {
    return this.beginning.startMs;
  }

  /** What makes spans of the next process, or of the next hop, parts of this one. */
  get traceparent(): string {
    const { traceId, spanId } = this.context;
    return `00-${traceId}-${spanId}-01`;
  }

  /** The state that traces give a span. */
  get status(): SpanStatusCode {
    return this.failure === undefined ? SpanStatusCode.UNSET : SpanStatusCode.ERROR;
  }

  /** Adds to what the span tells of its hop. Names get the prefix `magnoliakeel.`. */
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

  /** Ends the span and hands it over; later calls do nothing. */
  end(): void {
    if (this.endMs > 0) return;
    this.endMs = Math.max(this.beginning.now(), this.startMs);
    this.beginning.ended(this);
  }
}
