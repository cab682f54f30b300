import { expect, test } from 'vitest';
import SpentTimeModel from '../../src/batches/SpentTimeModel';

/** What is made of the last of these callers. */
function spentOfLast(waitsMs: readonly number[]): number | undefined {
  const patience = SpentTimeModel.create();
  return waitsMs.map((waitMs) => patience.observe('q', waitMs)).at(-1);
}

const usual = Array.from({ length: 20 }, (_, at) => 1_900 + 10 * at);

test('a caller that waits as long as others has spent nothing', () => {
  expect(spentOfLast([...usual, 1_800])).toBe(0);
});

test('a caller that waits far less has spent the difference, less what callers differ by', () => {
  expect(spentOfLast([...usual, 800])).toBe(2_040 * 0.75 - 800);
});

test('while many come back the usual caller is still one that comes for the first time', () => {
  const mixed = Array.from({ length: 40 }, (_, at) => (at % 3 === 0 ? 2_000 : 700));
  expect(spentOfLast([...mixed, 700])).toBe(800);
});

test('nothing is made of the first callers', () => {
  expect(spentOfLast([2_000, 2_000, 700])).toBe(0);
});
