import { expect, test } from 'vitest';
import FaultRate from '../../src/core/FaultRate';

/** When errors at these times, ms, come again and again for the first time. */
function tooOftenAt(times: readonly number[]): number | undefined {
  const rate = FaultRate.create();
  return times.find((atMs) => {
    rate.take(atMs);
    return rate.isTooOften(atMs);
  });
}

function every(intervalMs: number, count: number): number[] {
  return Array.from({ length: count }, (_, turn) => turn * intervalMs);
}

test('a process goes on after errors that do not come again and again', () => {
  const found = {
    'a single one': tooOftenAt([0]),
    'a hundred at once, as after the loss of a zone': tooOftenAt(every(1, 100)),
    'a hundred at once, three times': tooOftenAt([0, 2_000, 4_000].flatMap((at) => [at, at + 100])),
    'a caller that comes again and again': tooOftenAt(every(1_300, 100)),
    'a timer of 10 s': tooOftenAt(every(10_000, 100)),
    'a timer of 250 ms': tooOftenAt(every(250, 100)),
    'a timer of 100 ms': tooOftenAt(every(100, 100)),
    'each message of a busy link': tooOftenAt(every(1, 10_000)),
  };
  expect(found).toMatchInlineSnapshot(`
    {
      "a caller that comes again and again": undefined,
      "a hundred at once, as after the loss of a zone": undefined,
      "a hundred at once, three times": undefined,
      "a single one": undefined,
      "a timer of 10 s": undefined,
      "a timer of 100 ms": 2800,
      "a timer of 250 ms": 2750,
      "each message of a busy link": 2750,
    }
  `);
});

test('errors that have stopped no longer count after the window', () => {
  const rate = FaultRate.create();
  every(100, 40).forEach((atMs) => rate.take(atMs));
  expect([4_000, 10_000, 12_000].map((atMs) => rate.isTooOften(atMs))).toEqual([true, true, false]);
});

test('tells how many errors there were at about the same time', () => {
  const rate = FaultRate.create();
  expect([0, 1, 2, 260, 261].map((atMs) => rate.take(atMs))).toEqual([1, 2, 3, 1, 2]);
});
