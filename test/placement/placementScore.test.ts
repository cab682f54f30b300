import { expect, test } from 'vitest';
import placementScore from '../../src/placement/placementScore';

const FAST = 0.75;
const SLOW = 1.8;

/** Which of two machines scores higher for a batch of one task; `waitedMs` is how long it has already waited. */
function preferred(
  estimateMs: number,
  conservesFastBackends: boolean,
  waitedMs = 0,
): 'fast' | 'slow' {
  const targetAt = 1.6 * estimateMs + 60 - waitedMs;
  const scoreAt = (durationRatio: number): number =>
    placementScore({
      ...{ durationRatio, conservesFastBackends, targetAt },
      endsAt: estimateMs * durationRatio,
      expiresAt: 3 * (targetAt + waitedMs) - waitedMs,
    });
  return scoreAt(FAST) > scoreAt(SLOW) ? 'fast' : 'slow';
}

test('while fast machines have free capacity, every task goes there', () => {
  expect([preferred(73, false), preferred(243, false), preferred(1_086, false)]).toEqual([
    'fast',
    'fast',
    'fast',
  ]);
});

test('when fast capacity is scarce, tasks that meet their target on a slow machine leave it to those that do not', () => {
  expect([preferred(73, true), preferred(243, true), preferred(1_086, true)]).toEqual([
    'slow',
    'slow',
    'fast',
  ]);
});

test('when fast capacity is scarce, tasks that are late on any machine leave it to those that are not', () => {
  expect(preferred(1_086, true, 2_000)).toBe('slow');
});

test('a task that would expire on a slow machine goes to a fast one, however late it is', () => {
  expect(preferred(1_086, true, 4_000)).toBe('fast');
});
