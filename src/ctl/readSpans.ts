import type TraceSpan from './TraceSpan';

/** Parses exported spans, one OTLP export request per line in JSON. Skips all other lines. */
export default function readSpans(text: string): readonly TraceSpan[] {
  return text
    .split('\n')
    .filter((line) => line.includes('"resourceSpans"'))
    .flatMap((line) => parseLine(line)?.resourceSpans ?? [])
    .flatMap(({ resource, scopeSpans = [] }) => {
      const resourceAttributes = attributesOf(resource?.attributes);
      const process = String(
        resourceAttributes['service.instance.id'] ?? resourceAttributes['service.name'] ?? '',
      );
      const spans = scopeSpans.flatMap((scope) => scope.spans ?? []);
      return spans.map((span) => spanOf(span, process));
    });
}

interface Attribute {
  readonly key: string;
  readonly value?: Readonly<Record<string, unknown>>;
}

interface OtlpSpan {
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId?: string;
  readonly name: string;
  readonly startTimeUnixNano: string;
  readonly endTimeUnixNano: string;
  readonly attributes?: readonly Attribute[];
  readonly status?: { readonly code?: number; readonly message?: string };
}

interface OtlpRequest {
  readonly resourceSpans?: readonly {
    readonly resource?: { readonly attributes?: readonly Attribute[] };
    readonly scopeSpans?: readonly { readonly spans?: readonly OtlpSpan[] }[];
  }[];
}

const STATUS_ERROR = 2;

const ATTRIBUTE_PREFIX = /^magnoliakeel\./;

function parseLine(line: string): OtlpRequest | undefined {
  try {
    return JSON.parse(line) as OtlpRequest;
  } catch {
    return undefined;
  }
}

function spanOf(span: OtlpSpan, process: string): TraceSpan {
  const startNanos = BigInt(span.startTimeUnixNano);
  const { code, message = '' } = span.status ?? {};
  return {
    traceId: span.traceId,
    spanId: span.spanId,
    parentId: span.parentSpanId ?? '',
    name: span.name,
    process,
    startMs: msOf(startNanos),
    tookMs: msOf(BigInt(span.endTimeUnixNano) - startNanos),
    error: code === STATUS_ERROR ? message || 'failed' : undefined,
    attributes: attributesOf(span.attributes),
  };
}

function attributesOf(attributes: readonly Attribute[] = []): Record<string, unknown> {
  const entries = attributes.map(({ key, value = {} }) => [
    key.replace(ATTRIBUTE_PREFIX, ''),
    Object.values(value)[0],
  ]);
  return Object.fromEntries(entries);
}

function msOf(nanos: bigint): number {
  return Number(nanos) / 1e6;
}
