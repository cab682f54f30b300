import { SpanKind } from '@opentelemetry/api';
import { resourceFromAttributes } from '@opentelemetry/resources';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { expect, test } from 'vitest';
import Random from '../../src/core/Random';
import Metrics from '../../src/observe/Metrics';
import SpanBuffer from '../../src/observe/SpanBuffer';
import type SpanSink from '../../src/observe/SpanSink';
import Tracer from '../../src/observe/Tracer';
import ManualTimer from '../support/ManualTimer';
import never from '../support/never';

const TRACEPARENT = '00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01';

const sinks = {
  working: { exportBatch: () => okAsync() },
  failing: { exportBatch: () => errAsync('down') },
  stuck: { exportBatch: () => new ResultAsync(never()) },
} satisfies Record<string, SpanSink>;

/** Ends a number of spans, closes the buffer and returns the span metrics. */
async function exportSpans(sink: SpanSink, spans: number): Promise<string> {
  const timer = ManualTimer.create();
  const metrics = Metrics.create(timer, 'sidecar');
  const buffer = SpanBuffer.create({ timer, metrics, sink, resource: resourceFromAttributes({}) });
  const tracer = Tracer.create({
    ...{ timer, random: Random.fromSeed(1), incarnation: 's1', sample: 0 },
    onEnd: (span) => buffer.add(span),
  });
  for (let made = 0; made < spans; made += 1) {
    tracer.startHop('hop', SpanKind.INTERNAL, TRACEPARENT)!.end();
  }
  const closed = buffer.close();
  await timer.advance(2000);
  await closed;
  const lines = (await metrics.render()).split('\n');
  return lines.filter((line) => line.startsWith('magnoliakeel_spans_')).join('\n');
}

test('exports spans in batches', async () => {
  expect(await exportSpans(sinks.working, 600)).toBe('magnoliakeel_spans_exported_total 600');
});

test('counts the spans that could not be exported', async () => {
  expect(await exportSpans(sinks.failing, 600)).toMatchInlineSnapshot(`
    "magnoliakeel_spans_exported_total 0
    magnoliakeel_spans_dropped_total{cause="failed"} 600"
  `);
});

test('holds a limited number of spans and closes although the export is stuck', async () => {
  expect(await exportSpans(sinks.stuck, 5000)).toMatchInlineSnapshot(`
    "magnoliakeel_spans_exported_total 0
    magnoliakeel_spans_dropped_total{cause="full"} 904"
  `);
});
