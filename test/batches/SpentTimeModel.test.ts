import { expect, test } from 'vitest';
import SpentTimeModel from '../../src/batches/SpentTimeModel';

/** The time spent by the last of these callers, as estimated. */
function spentByLast(waitsMs: readonly number[]): number | undefined {
  const model = SpentTimeModel.create();
  return waitsMs.map((waitMs) => model.observe('q', waitMs)).at(-1);
}

const usual = Array.from({ length: 20 }, (_, at) => 1_900 + 10 * at);

test('a caller that waits as long as others has spent nothing', () => {
  expect(spentByLast([...usual, 1_800])).toBe(0);
});

test('a caller that waits far less has spent the difference, less the tolerance', () => {
  expect(spentByLast([...usual, 800])).toBe(2_040 * 0.75 - 800);
});

test('while many callers retry, the reference is still a first attempt', () => {
  const mixed = Array.from({ length: 40 }, (_, at) => (at % 3 === 0 ? 2_000 : 700));
  expect(spentByLast([...mixed, 700])).toBe(800);
});

test('no time is derived for the first callers', () => {
  expect(spentByLast([2_000, 2_000, 700])).toBe(0);
});
