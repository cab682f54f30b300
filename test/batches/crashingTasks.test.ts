import { expect, test } from 'vitest';
import type BatchTask from '../../src/batches/BatchTask';
import exceedsCrashLimit from '../../src/batches/exceedsCrashLimit';
import BatchCase from '../support/BatchCase';

// A task may crash the backend server that starts it. A run lost with its backend server counted for nothing, so
// the task was started at one after the other until its caller gave up, and all that ran beside it was lost.

/** Crashes under one task at most: after the third it may be started less than three times. */
const MOST_CRASHES = 5;

/** Batches whose name begins with "p" crash what starts them; the others take as long as they say. */
function open(sidecars: number, reborn = true): Promise<BatchCase> {
  return BatchCase.open({
    sidecars,
    restartsBackends: reborn,
    work: ({ batch }, spec) => ({
      ms: batch.startsWith('p') ? 20 : Number(spec),
      fails: false,
      crashes: batch.startsWith('p'),
    }),
  });
}

test('a task that crashes what starts it is given up after three crashes', async () => {
  const batchCase = await open(6);
  const caller = batchCase.submit('p');
  await batchCase.timer.advance(5_000);
  expect([caller.answer, batchCase.crashes]).toEqual([
    { kind: 'failed', reason: '3 backend servers crashed under a task' },
    3,
  ]);
});

test('what ran beside it is completed, however often it was there', async () => {
  const batchCase = await open(6);
  const beside = [...Array(6).keys()].map((one) =>
    batchCase.submit(`a${one}`, { tasks: 3, ms: 600 }),
  );
  await batchCase.timer.advance(20);
  const crashing = ['p1', 'p2', 'p3'].map((id) => batchCase.submit(id));
  await batchCase.timer.advance(9_000);
  expect([crashing, beside].map((all) => all.map(({ answer }) => answer?.kind))).toEqual([
    Array(3).fill('failed'),
    Array(6).fill('completed'),
  ]);
  expect(batchCase.crashes).toBeLessThanOrEqual(3 * MOST_CRASHES);
});

test('a batch that is submitted again does not begin anew with crashing backend servers', async () => {
  const batchCase = await open(6);
  const first = batchCase.submit('p');
  await batchCase.timer.advance(100);
  first.gone.abort();
  await batchCase.timer.advance(2_000);
  const second = batchCase.submit('p');
  await batchCase.timer.advance(3_000);
  expect([second.answer?.kind, batchCase.crashes]).toEqual(['failed', 3]);
});

test('runs on a backend server that crashes again and again are not blamed for it', async () => {
  const batchCase = await open(1);
  const caller = batchCase.submit('a', { ms: 4_000, waitMs: 30_000 });
  for (let crashes = 0; crashes < 3; crashes += 1) {
    await batchCase.timer.advance(100);
    batchCase.backends[0]!.crash();
    await batchCase.timer.advance(2_200);
  }
  await batchCase.timer.advance(5_000);
  expect([caller.answer?.kind, batchCase.crashes]).toEqual(['completed', 3]);
});

test('a backend server that ends after it has said that it leaves has not crashed', async () => {
  const batchCase = await open(2);
  const caller = batchCase.submit('a', { tasks: 2, ms: 1_000 });
  for (const number of [0, 1, 0]) {
    await batchCase.timer.advance(100);
    const backend = batchCase.backends[number]!;
    batchCase.sidecars[number]!.handleHeartbeat(backend.report({ draining: true }));
    backend.crash();
    await batchCase.timer.advance(2_300);
  }
  await batchCase.timer.advance(2_000);
  expect(caller.answer?.kind).toBe('completed');
});

test.each([
  [1, 4, false],
  [2, 2, false],
  [3, 3, true],
  [0, 5, true],
])('the likeliest cause %i times, there %i times: given up is %s', (suspicion, crashes, is) => {
  expect(exceedsCrashLimit({ suspicion, crashes } as BatchTask)).toBe(is);
});

test('a task that was suspected twice runs alone', async () => {
  const batchCase = await open(4);
  batchCase.submit('p');
  await batchCase.timer.advance(20);
  const beside = batchCase.submit('a', { tasks: 8, ms: 1_500, waitMs: 30_000 });
  await batchCase.timer.advance(1_000);
  const before = batchCase.crashes;
  await batchCase.timer.advance(9_000);
  expect([before, batchCase.crashes, beside.answer?.kind]).toEqual([2, 3, 'completed']);
});

test('a suspect for which no backend server is free is answered as failed in the end', async () => {
  const batchCase = await open(3, false);
  batchCase.submit('a', { ms: 9_000, waitMs: 30_000 });
  await batchCase.timer.advance(20);
  const caller = batchCase.submit('p', { waitMs: 3_000 });
  await batchCase.timer.advance(3_100);
  expect([caller.answer, batchCase.crashes]).toEqual([
    {
      kind: 'failed',
      reason: '2 backend servers crashed under a task, and none was free for it alone',
    },
    2,
  ]);
});
