import { expect, test } from 'vitest';
import BatchCase from '../support/BatchCase';

// An entry that had been isolated resumed, after it was back, a batch that another entry had taken
// over.
test('a task does not run twice at the same time when its entry is paused and resumes', async () => {
  const batchCase = await BatchCase.open({ entries: 3, sidecars: 6 });
  batchCase.submit('x', { entry: 0, tasks: 2, ms: 3_000 });
  await batchCase.timer.advance(100);
  batchCase.network.pause('e0');
  await batchCase.timer.advance(500);
  const second = batchCase.submit('x', { entry: 1, tasks: 2, ms: 3_000 });
  await batchCase.timer.advance(3_000);
  const whilePaused = batchCase.running;
  batchCase.network.resume('e0');
  await batchCase.timer.advance(5_000);
  expect([whilePaused, batchCase.maxConcurrentRuns, second.answer]).toEqual([
    ['x.0.0', 'x.0.1'],
    1,
    { kind: 'completed' },
  ]);
});
