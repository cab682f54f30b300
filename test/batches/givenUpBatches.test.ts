import { expect, test } from 'vitest';
import Metrics from '../../src/observe/Metrics';
import BatchCase from '../support/BatchCase';
import ManualTimer from '../support/ManualTimer';

test('batches that are given up are counted by cause', async () => {
  const metrics = Metrics.create(ManualTimer.create(), 'batchEntry');
  const batchCase = await BatchCase.open({ sidecars: 1, metrics });
  const { timer, entries } = batchCase;
  batchCase.submit('a', { ms: 5_000, waitMs: 200 });
  const { gone } = batchCase.submit('b', { ms: 5_000 });
  await timer.advance(300);
  gone.abort();
  batchCase.submit('c', { ms: 5_000, entry: 1 });
  await timer.advance(300);
  await entries[1]!.leave(0);
  batchCase.submit('d', { ms: 5_000 });
  await timer.advance(300);
  timer.jump(3_000);
  await timer.advance(500);
  const lines = (await metrics.render()).split('\n');
  expect(lines.filter((line) => line.startsWith('magnoliakeel_batches_given_up')))
    .toMatchInlineSnapshot(`
    [
      "magnoliakeel_batches_given_up_total{cause="out_of_time"} 1",
      "magnoliakeel_batches_given_up_total{cause="caller_gone"} 1",
      "magnoliakeel_batches_given_up_total{cause="leaving"} 1",
      "magnoliakeel_batches_given_up_total{cause="held_up"} 1",
    ]
  `);
});
