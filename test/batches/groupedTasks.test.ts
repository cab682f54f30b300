import { expect, test } from 'vitest';
import type RunId from '../../src/runs/RunId';
import BatchCase from '../support/BatchCase';

/** Each task takes two milliseconds longer than the one before it. */
const uneven = ({ index }: RunId, spec: string) => ({
  ms: Number(spec) + 2 * index,
  fails: false,
});

/** A sidecar whose backend server has worked before, so that its speed is no news. */
async function open() {
  const batchCase = await BatchCase.open({ sidecars: 1, work: uneven });
  batchCase.submit('before', { tasks: 4, ms: 100 });
  await batchCase.timer.advance(3_200);
  batchCase.network.resetCounts();
  return batchCase;
}

test('tasks that start and end together cost one order and one message of their ends', async () => {
  const batchCase = await open();
  const batch = batchCase.submit('a', { tasks: 4, ms: 100 });
  await batchCase.timer.advance(200);
  const { startRuns, runsEnded } = batchCase.network.messageCounts();
  expect([batch.answer?.kind, startRuns, runsEnded]).toEqual(['completed', 1, 1]);
});

// With the ends of the four kept back, the fifth would start behind the last of them in place of the first.
test('ends are told at once while room is short', async () => {
  const batchCase = await open();
  batchCase.submit('a', { tasks: 4, ms: 100 });
  const second = batchCase.submit('b', { tasks: 1, ms: 100 });
  await batchCase.timer.advance(107);
  expect(batchCase.backends[0]!.starts).toHaveLength(9);
  await batchCase.timer.advance(100);
  expect(second.answer).toMatchObject({ kind: 'completed' });
});

test('an end that is known at the sidecar is told with its next pulse', async () => {
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
