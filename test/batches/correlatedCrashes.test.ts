import { expect, test } from 'vitest';
import BatchCase from '../support/BatchCase';

// When a rack lost power, all that ran there was suspected of the crashes and kept apart, one task a backend server:
// each backend server that was left took one of them in place of what it had room for, and callers of the rest waited.

/** Batches whose name begins with "p" crash what starts them; the others take as long as they say. */
function open(sidecars: number, reborn = false): Promise<BatchCase> {
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

/** The last backend servers lose power. */
function losePower({ backends }: BatchCase, count: number): void {
  backends.slice(-count).forEach((backend) => backend.crash());
}

test('what ran where a rack loses power is started side by side', async () => {
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

test('a task that was excused and crashes the next backend server is given up at the third', async () => {
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

test('a batch of tasks that crash what starts them is found among a loss of power', async () => {
  const batchCase = await open(12, true);
  const beside = [...Array(12).keys()].map((one) => batchCase.submit(`a${one}`, { ms: 900 }));
  const crashing = batchCase.submit('p', { tasks: 8, waitMs: 30_000 });
  await batchCase.timer.advance(10);
  losePower(batchCase, 4);
  await batchCase.timer.advance(9_000);
  expect(crashing.answer?.kind).toBe('failed');
  expect(beside.map(({ answer }) => answer?.kind)).toEqual(Array(12).fill('completed'));
});
