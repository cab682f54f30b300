import { expect, test } from 'vitest';
import BatchCase from '../support/BatchCase';

// When a rack lost power, all tasks that ran there were suspected of the crashes and kept apart,
// one task per backend server: each remaining backend server accepted one of them instead of as
// many as it had capacity for, and the callers of the rest waited.

/**
 * Tasks of batches whose id starts with "p" crash their backend server; the others take as long as
 * their spec says.
 */
function open(sidecars: number, restartsBackends = false): Promise<BatchCase> {
  return BatchCase.open({
    sidecars,
    restartsBackends,
    work: ({ batch }, spec) => ({
      ms: batch.startsWith('p') ? 20 : Number(spec),
      fails: false,
      crashes: batch.startsWith('p'),
    }),
  });
}

/** Crashes the last `count` backend servers. */
function losePower({ backends }: BatchCase, count: number): void {
  backends.slice(-count).forEach((backend) => backend.crash());
}

test('tasks of a rack that loses power are restarted side by side', async () => {
  const batchCase = await open(8);
  const callers = [...Array(16).keys()].map((one) => batchCase.submit(`a${one}`, { ms: 900 }));
  await batchCase.timer.advance(50);
  losePower(batchCase, 4);
  await batchCase.timer.advance(1_500);
  expect(callers.map(({ answer }) => answer?.kind)).toEqual(Array(16).fill('completed'));
});

test('after crashes of two backend servers suspects are kept apart', async () => {
  const batchCase = await open(3);
  const callers = [...Array(3).keys()].map((one) => batchCase.submit(`a${one}`, { ms: 900 }));
  await batchCase.timer.advance(50);
  losePower(batchCase, 2);
  await batchCase.timer.advance(1_500);
  expect(callers.filter(({ answer }) => answer).length).toBe(2);
});

test('an excused task that crashes the next backend server fails at the third crash', async () => {
  const batchCase = await open(9);
  const beside = [...Array(8).keys()].map((one) => batchCase.submit(`a${one}`, { ms: 900 }));
  await batchCase.timer.advance(10);
  const crashing = batchCase.submit('p');
  await batchCase.timer.advance(10);
  losePower(batchCase, 4);
  await batchCase.timer.advance(6_000);
  expect([crashing.answer?.kind, batchCase.crashes]).toEqual(['failed', 4 + 2]);
  expect(beside.map(({ answer }) => answer?.kind)).toEqual(Array(8).fill('completed'));
});

test('a batch of crashing tasks is detected in spite of a power loss at the same time', async () => {
  const batchCase = await open(12, true);
  const beside = [...Array(12).keys()].map((one) => batchCase.submit(`a${one}`, { ms: 900 }));
  const crashing = batchCase.submit('p', { tasks: 8, waitMs: 30_000 });
  await batchCase.timer.advance(10);
  losePower(batchCase, 4);
  await batchCase.timer.advance(9_000);
  expect(crashing.answer?.kind).toBe('failed');
  expect(beside.map(({ answer }) => answer?.kind)).toEqual(Array(12).fill('completed'));
});
