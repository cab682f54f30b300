import { expect, test } from 'vitest';
import type RunId from '../../src/runs/RunId';
import BatchCase from '../support/BatchCase';

/** Each task takes two milliseconds longer than the one before it. */
const increasingDurations = ({ index }: RunId, spec: string) => ({
  ms: Number(spec) + 2 * index,
  fails: false,
});

/** A sidecar whose backend server has worked before, so that it sends no report of its speed. */
async function open() {
  const batchCase = await BatchCase.open({ sidecars: 1, work: increasingDurations });
  batchCase.submit('before', { tasks: 4, ms: 100 });
  await batchCase.timer.advance(3_200);
  batchCase.network.resetCounts();
  return batchCase;
}

test('tasks that start and end together take one start message and one end message', async () => {
  const batchCase = await open();
  const batch = batchCase.submit('a', { tasks: 4, ms: 100 });
  await batchCase.timer.advance(200);
  const { startRuns, runsEnded } = batchCase.network.messageCounts();
  expect([batch.answer?.kind, startRuns, runsEnded]).toEqual(['completed', 1, 1]);
});

// If the ends of the four were held back, the fifth task would start after the last of them instead
// of after the first.
test('ends are reported immediately while capacity is short', async () => {
  const batchCase = await open();
  batchCase.submit('a', { tasks: 4, ms: 100 });
  const second = batchCase.submit('b', { tasks: 1, ms: 100 });
  await batchCase.timer.advance(107);
  expect(batchCase.backends[0]!.starts).toHaveLength(9);
  await batchCase.timer.advance(100);
  expect(second.answer).toMatchObject({ kind: 'completed' });
});

test('the sidecar reports an end with its next pulse at the latest', async () => {
  const batchCase = await BatchCase.open({
    sidecars: 1,
    work: ({ index }) => ({ ms: index === 0 ? 100 : 2_000, fails: false }),
  });
  await batchCase.timer.advance(3_000);
  batchCase.network.resetCounts();
  batchCase.submit('a', { tasks: 2, ms: 100 });
  await batchCase.timer.advance(500);
  expect(batchCase.network.messageCounts().runsEnded).toBe(1);
});
