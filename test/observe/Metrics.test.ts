import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import {
  Outcome,
  RefusalCause,
  TaskStatus,
  ViewSchema,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import EntryMetrics from '../../src/observe/EntryMetrics';
import Metrics from '../../src/observe/Metrics';
import ManualTimer from '../support/ManualTimer';

function open() {
  const timer = ManualTimer.create();
  const metrics = Metrics.create(timer, 'entry');
  return { timer, metrics, hooks: EntryMetrics.of(metrics) };
}

async function renderOwn(metrics: Metrics): Promise<string> {
  const text = await metrics.render();
  const lines = text.split('\n').filter((line) => line.startsWith('magnoliakeel_'));
  const isOwn = (line: string) => !line.startsWith('magnoliakeel_process_') && !line.endsWith(' 0');
  return lines.filter(isOwn).join('\n');
}

test('renders the events that the hooks counted', async () => {
  const { metrics, hooks } = open();
  hooks.requestAnswered('quote', Outcome.COMPLETED);
  hooks.requestAnswered('quote', Outcome.NOT_RUN);
  hooks.taskStarted('quote', 20);
  hooks.taskSettled('quote', TaskStatus.COMPLETED, 120, 100);
  hooks.startRefused(RefusalCause.STALE_CREDIT);
  hooks.messagesWasted('cancelled', 3);
  expect(await renderOwn(metrics)).toMatchInlineSnapshot(`
    "magnoliakeel_requests_total{service="quote",outcome="completed"} 1
    magnoliakeel_requests_total{service="quote",outcome="not_run"} 1
    magnoliakeel_stretch_ratio{service="quote",quantile="0.5"} 1.204223
    magnoliakeel_stretch_ratio{service="quote",quantile="0.9"} 1.204223
    magnoliakeel_stretch_ratio{service="quote",quantile="0.99"} 1.204223
    magnoliakeel_stretch_ratio{service="quote",quantile="0.999"} 1.204223
    magnoliakeel_stretch_ratio{service="quote",quantile="1"} 1.204223
    magnoliakeel_stretch_ratio_sum{service="quote"} 1.2
    magnoliakeel_stretch_ratio_count{service="quote"} 1
    magnoliakeel_queue_wait_seconds{service="quote",quantile="0.5"} 0.020095
    magnoliakeel_queue_wait_seconds{service="quote",quantile="0.9"} 0.020095
    magnoliakeel_queue_wait_seconds{service="quote",quantile="0.99"} 0.020095
    magnoliakeel_queue_wait_seconds{service="quote",quantile="0.999"} 0.020095
    magnoliakeel_queue_wait_seconds{service="quote",quantile="1"} 0.020095
    magnoliakeel_queue_wait_seconds_sum{service="quote"} 0.02
    magnoliakeel_queue_wait_seconds_count{service="quote"} 1
    magnoliakeel_tasks_started_total{service="quote"} 1
    magnoliakeel_tasks_settled_total{service="quote",status="completed"} 1
    magnoliakeel_wasted_messages_total{cause="refused_stale_credit"} 1
    magnoliakeel_wasted_messages_total{cause="cancelled"} 3"
  `);
});

test('counts removed entries apart from those that left', async () => {
  const { metrics, hooks } = open();
  const view = (names: string, leaving = '') => {
    const members = [...names].map((name) => ({ incarnation: name, leaving: name === leaving }));
    hooks.viewChanged(create(ViewSchema, { members }));
  };
  view('abc', 'a');
  view('bc');
  view('b');
  expect(await renderOwn(metrics)).toMatchInlineSnapshot(`
    "magnoliakeel_members_removed_total 1
    magnoliakeel_members_left_total 1"
  `);
});

test('drops old values from quantiles, but not from sums', async () => {
  const { timer, metrics } = open();
  metrics.record('response_seconds', 9, 'quote');
  await timer.advance(70_000);
  metrics.record('response_seconds', 1, 'quote');
  await timer.advance(60_000);
  expect(await renderOwn(metrics)).toMatchInlineSnapshot(`
    "magnoliakeel_response_seconds{service="quote",quantile="0.5"} 1.003519
    magnoliakeel_response_seconds{service="quote",quantile="0.9"} 1.003519
    magnoliakeel_response_seconds{service="quote",quantile="0.99"} 1.003519
    magnoliakeel_response_seconds{service="quote",quantile="0.999"} 1.003519
    magnoliakeel_response_seconds{service="quote",quantile="1"} 1.003519
    magnoliakeel_response_seconds_sum{service="quote"} 10
    magnoliakeel_response_seconds_count{service="quote"} 2"
  `);
});

test('reads gauges when metrics are rendered', async () => {
  const { metrics } = open();
  let queued = 1;
  metrics.setSource('queue_length', () => [{ labels: ['quote'], value: queued }]);
  queued = 7;
  expect(await renderOwn(metrics)).toBe('magnoliakeel_queue_length{service="quote"} 7');
});
