import { expect, test } from 'vitest';
import BatchCase from '../support/BatchCase';

const IDS = Array.from({ length: 8 }, (_, number) => `x${number}`);

// An entry gave up its batch as taken over when an entry that joined had recorded the claim of
// another one that only waited for it.
test('a batch that another entry waits for continues when a third entry joins', async () => {
  const batchCase = await BatchCase.open({ entries: 6, sidecars: 4 });
  const first = IDS.map((id) => batchCase.submit(id, { entry: 0, ms: 1_000 }));
  await batchCase.timer.advance(50);
  batchCase.network.delay('e0', 'e6', 100);
  await batchCase.addEntry(6);
  await batchCase.timer.advance(30);
  const second = IDS.map((id) => batchCase.submit(id, { entry: 3, ms: 1_000 }));
  await batchCase.timer.advance(3_000);
  const answers = new Set([...first, ...second].map(({ answer }) => answer?.kind));
  expect([batchCase.maxConcurrentRuns, ...answers]).toEqual([1, 'completed']);
});
