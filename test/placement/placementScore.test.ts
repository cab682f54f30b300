import { expect, test } from 'vitest';
import placementScore from '../../src/placement/placementScore';

const FAST = 0.75;
const SLOW = 1.8;

/**
 * Which of two machines scores higher for a batch of one task; `waitedMs` is how long it has already waited.
 */
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

test('while fast machines have free capacity, every task goes there', () => {
  expect([better(73, false), better(243, false), better(1_086, false)]).toEqual([
    'fast',
    'fast',
    'fast',
  ]);
});

test('when fast capacity is scarce, tasks that meet their target on a slow machine leave it to those that do not', () => {
  expect([better(73, true), better(243, true), better(1_086, true)]).toEqual([
    'slow',
    'slow',
    'fast',
  ]);
});

test('when fast capacity is scarce, tasks that are late on any machine leave it to those that are not', () => {
  expect(better(1_086, true, 2_000)).toBe('slow');
});

test('a task that would expire on a slow machine goes to a fast one, however late it is', () => {
  expect(better(1_086, true, 4_000)).toBe('fast');
});
