import { expect, test } from 'vitest';
import BatchCase from '../support/BatchCase';

const WIDE = { entries: 10, sidecars: 20 };

// Callers of ten entries had tasks run twice at the same time: a batch reached a second entry while
// the first still had it open, or was still stopping it, and no process was involved in both.
test('a task does not run twice at the same time when its batch reaches a second entry', async () => {
  const batchCase = await BatchCase.open(WIDE);
  const first = batchCase.submit('x', { entry: 0, tasks: 2, ms: 300 });
  await batchCase.timer.advance(100);
  const second = batchCase.submit('x', { entry: 5, tasks: 2, ms: 300 });
  await batchCase.timer.advance(2_000);
  expect([batchCase.maxConcurrentRuns, first.answer, second.answer]).toEqual([
    1,
    { kind: 'completed' },
    { kind: 'completed' },
  ]);
});

test('a task does not run twice at the same time when its caller immediately turns to another entry', async () => {
  const batchCase = await BatchCase.open(WIDE);
  const first = batchCase.submit('x', { entry: 0, tasks: 2, ms: 300 });
  await batchCase.timer.advance(10);
  first.gone.abort();
  const second = batchCase.submit('x', { entry: 5, tasks: 2, ms: 300 });
  await batchCase.timer.advance(2_000);
  expect([batchCase.maxConcurrentRuns, second.answer]).toEqual([1, { kind: 'completed' }]);
});

test('a task does not run twice at the same time when its batch reaches two entries simultaneously', async () => {
  const batchCase = await BatchCase.open(WIDE);
  const duplicates = [2, 7].map((entry) => batchCase.submit('x', { entry, tasks: 2, ms: 300 }));
  await batchCase.timer.advance(2_000);
  const answers = duplicates.map(({ answer }) => answer);
  expect([batchCase.maxConcurrentRuns, ...answers]).toEqual([
    1,
    { kind: 'completed' },
    { kind: 'completed' },
  ]);
});
