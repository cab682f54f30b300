import type { HrTime } from '@opentelemetry/api';
import { JsonTraceSerializer } from '@opentelemetry/otlp-transformer';
import type { Resource } from '@opentelemetry/resources';
import version from '../core/version';
import type Span from './Span';

/** The JSON text of an OTLP export request with the spans of one process. */
export default function serializeSpans(spans: readonly Span[], resource: Resource): Uint8Array {
  const records = spans.map((span) => ({
    name: span.name,
    kind: span.kind,
    spanContext: () => span.context,
    parentSpanContext: span.parent,
    startTime: hrTimeOf(span.startMs),
    endTime: hrTimeOf(span.endMs),
    duration: hrTimeOf(span.endMs - span.startMs),
    status: { code: span.status, message: span.failure },
    attributes: span.attributes,
    links: [],
    events: [],
    ended: true,
    resource,
    instrumentationScope: SCOPE,
    droppedAttributesCount: 0,
    droppedEventsCount: 0,
    droppedLinksCount: 0,
  }));
  return JsonTraceSerializer.serializeRequest(records) ?? new Uint8Array();
}

const SCOPE = { name: 'magnoliakeel', version };

function hrTimeOf(ms: number): HrTime {
  const seconds = Math.floor(ms / 1000);
  return [seconds, Math.round((ms - seconds * 1000) * 1e6)];
}
