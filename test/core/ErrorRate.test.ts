import { expect, test } from 'vitest';
import ErrorRate from '../../src/core/ErrorRate';

/** The first of these times, ms, at which errors that occur at them count as persistent. */
function persistentFrom(times: readonly number[]): number | undefined {
  const rate = ErrorRate.create();
  return times.find((atMs) => {
    rate.add(atMs);
    return rate.isPersistent(atMs);
  });
}

function every(intervalMs: number, count: number): number[] {
  return Array.from({ length: count }, (_, turn) => turn * intervalMs);
}

test('only errors in many time slices of the window count as persistent', () => {
  const found = {
    'a single one': persistentFrom([0]),
    'a hundred at once, as after the loss of a zone': persistentFrom(every(1, 100)),
    'a hundred at once, three times': persistentFrom(
      [0, 2_000, 4_000].flatMap((at) => [at, at + 100]),
    ),
    'a caller that keeps retrying': persistentFrom(every(1_300, 100)),
    'a timer of 10 s': persistentFrom(every(10_000, 100)),
    'a timer of 250 ms': persistentFrom(every(250, 100)),
    'a timer of 100 ms': persistentFrom(every(100, 100)),
    'each message of a busy link': persistentFrom(every(1, 10_000)),
  };
  expect(found).toMatchInlineSnapshot(`
    {
      "a caller that keeps retrying": undefined,
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
  const rate = ErrorRate.create();
  every(100, 40).forEach((atMs) => rate.add(atMs));
  expect([4_000, 10_000, 12_000].map((atMs) => rate.isPersistent(atMs))).toEqual([
    true,
    true,
    false,
  ]);
});

test('returns the number of errors in the same time slice', () => {
  const rate = ErrorRate.create();
  expect([0, 1, 2, 260, 261].map((atMs) => rate.add(atMs))).toEqual([1, 2, 3, 1, 2]);
});
