import { expect, test } from 'vitest';
import BatchCase from '../support/BatchCase';

// An entry that had never been linked to the others presumed after a second that it was the only
// one.
test('a task does not run twice at the same time when an entry starts that only sidecars can reach', async () => {
  const batchCase = await BatchCase.open({ entries: 3 });
  batchCase.network.kill('e2');
  ['e0', 'e1'].forEach((other) => batchCase.network.partition('e2', other));
  await batchCase.timer.advance(2_000);
  await batchCase.addEntry(2);
  batchCase.configure(1, 2);
  await batchCase.timer.advance(3_000);
  const first = batchCase.submit('x', { entry: 0, ms: 500 });
  await batchCase.timer.advance(100);
  const second = batchCase.submit('x', { entry: 2, ms: 500 });
  await batchCase.timer.advance(3_000);
  const answers = [first, second].map(({ answer }) => answer?.kind);
  expect([batchCase.maxConcurrentRuns, ...answers]).toEqual([1, 'completed', 'not-run']);
});
