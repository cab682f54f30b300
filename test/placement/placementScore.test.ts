import { expect, test } from 'vitest';
import placementScore from '../../src/placement/placementScore';

const FAST = 0.75;
const SLOW = 1.8;

/** Which of two machines is better for a batch of one task, at once; "waited" is how late it already is, ms. */
function better(estimateMs: number, isThrifty: boolean, waitedMs = 0): 'fast' | 'slow' {
  const aimAt = 1.6 * estimateMs + 60 - waitedMs;
  const scoreAt = (times: number): number =>
    placementScore({
      ...{ durationRatio: times, conservesFastBackends: isThrifty, targetAt: aimAt },
      endsAt: estimateMs * times,
      expiresAt: 3 * (aimAt + waitedMs) - waitedMs,
    });
  return scoreAt(FAST) > scoreAt(SLOW) ? 'fast' : 'slow';
}

test('while there is room on fast machines everything goes there', () => {
  expect([better(73, false), better(243, false), better(1_086, false)]).toEqual([
    'fast',
    'fast',
    'fast',
  ]);
});

test('when it is short, what makes its aim on a slow machine leaves it to what does not', () => {
  expect([better(73, true), better(243, true), better(1_086, true)]).toEqual([
    'slow',
    'slow',
    'fast',
  ]);
});

test('when it is short, what is late on any machine leaves it to what is not', () => {
  expect(better(1_086, true, 2_000)).toBe('slow');
});

test('what would be of no use from a slow machine goes to a fast one, late as it is', () => {
  expect(better(1_086, true, 4_000)).toBe('fast');
});
