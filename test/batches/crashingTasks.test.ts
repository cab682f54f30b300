import { expect, test } from 'vitest';
import type BatchTask from '../../src/batches/BatchTask';
import exceedsCrashLimit from '../../src/batches/exceedsCrashLimit';
import BatchCase from '../support/BatchCase';

// A task may crash the backend server that starts it. A run that was lost with its backend server
// did not count, so the task was started on one backend server after the other until its caller
// gave up, and all runs beside it were lost.

/** Most crashes under one task: after the third it may be started less than three times. */
const MAX_CRASHES = 5;

/**
 * Tasks of batches whose id starts with "p" crash their backend server; the others take as long as
 * their spec says.
 */
function open(sidecars: number, restartsBackends = true): Promise<BatchCase> {
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

test('a task that crashes its backend servers fails after three crashes', async () => {
  const batchCase = await open(6);
  const caller = batchCase.submit('p');
  await batchCase.timer.advance(5_000);
  expect([caller.answer, batchCase.crashes]).toEqual([
    { kind: 'failed', reason: '3 backend servers crashed under a task' },
    3,
  ]);
});

test('tasks that run beside a crashing one are completed, however often they lose a run', async () => {
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
  expect(batchCase.crashes).toBeLessThanOrEqual(3 * MAX_CRASHES);
});

test('the crashes of a batch still count after a resubmission', async () => {
  const batchCase = await open(6);
  const first = batchCase.submit('p');
  await batchCase.timer.advance(100);
  first.gone.abort();
  await batchCase.timer.advance(2_000);
  const second = batchCase.submit('p');
  await batchCase.timer.advance(3_000);
  expect([second.answer?.kind, batchCase.crashes]).toEqual(['failed', 3]);
});

test('runs on a backend server that crashes repeatedly are not blamed for it', async () => {
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

test('a backend server that announces its shutdown and ends has not crashed', async () => {
  const batchCase = await open(2);
  const caller = batchCase.submit('a', { tasks: 2, ms: 1_000 });
  for (const number of [0, 1, 0]) {
    await batchCase.timer.advance(100);
    const backend = batchCase.backends[number]!;
    batchCase.sidecars[number]!.handleHeartbeat(backend.nextHeartbeat({ draining: true }));
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
])('suspected in %i crashes, present at %i: exceeds the limit: %s', (suspicion, crashes, is) => {
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

test('a batch fails at the end of its time if no backend server is free for its suspect', async () => {
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
