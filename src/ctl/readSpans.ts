import type TraceSpan from './TraceSpan';

/** Reads the spans in exported text, one OTLP export request a line; other lines are passed over. */
export default function readSpans(text: string): readonly TraceSpan[] {
  return text
    .split('\n')
    .filter((line) => line.includes('"resourceSpans"'))
    .flatMap((line) => parseLine(line)?.resourceSpans ?? [])
    .flatMap(({ resource, scopeSpans = [] }) => {
      const about = attributesOf(resource?.attributes);
      const process = String(about['service.instance.id'] ?? about['service.name'] ?? '');
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

const ERROR = 2;

const PREFIX = /^magnoliakeel\./;

function parseLine(line: string): OtlpRequest | undefined {
  try {
    return JSON.parse(line) as OtlpRequest;
  } catch {
    return undefined;
  }
}

function spanOf(span: OtlpSpan, process: string): TraceSpan {
  const start = BigInt(span.startTimeUnixNano);
  const { code, message = '' } = span.status ?? {};
  return {
    traceId: span.traceId,
    spanId: span.spanId,
    parentId: span.parentSpanId ?? '',
    name: span.name,
    process,
    startMs: msOf(start),
    tookMs: msOf(BigInt(span.endTimeUnixNano) - start),
    error: code === ERROR ? message || 'failed' : undefined,
    attributes: attributesOf(span.attributes),
  };
}

function attributesOf(attributes: readonly Attribute[] = []): Record<string, unknown> {
  const pairs = attributes.map(({ key, value = {} }) => [
    key.replace(PREFIX, ''),
    Object.values(value)[0],
  ]);
  return Object.fromEntries(pairs);
}

function msOf(nanos: bigint): number {
  return Number(nanos) / 1e6;
}
