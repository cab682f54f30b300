import { expect, test } from 'vitest';
import type TimerService from '../../src/core/TimerService';
import PauseDetector from '../../src/peering/PauseDetector';
import ManualTimer from '../support/ManualTimer';

const INTERVAL_MS = 400;

/** Gaps noticed with a wall clock that a test can set apart from the steady one. */
function open() {
  const timer = ManualTimer.create();
  const gaps: number[] = [];
  let wallAhead = 0;
  const parted: TimerService = {
    now: () => timer.now(),
    wall: () => timer.wall() + wallAhead,
    after: (delayMs, handler) => timer.after(delayMs, handler),
    every: (intervalMs, handler) => timer.every(intervalMs, handler),
    sleep: (delayMs, signal) => timer.sleep(delayMs, signal),
  };
  const watch = PauseDetector.start(parted, INTERVAL_MS, (gapMs) => gaps.push(gapMs));
  const suspend = (ms: number): void => {
    wallAhead += ms;
  };
  return { timer, gaps, watch, suspend };
}

test('a process that runs notices no gap', async () => {
  const { timer, gaps } = open();
  await timer.advance(5_000);
  expect(gaps).toEqual([]);
});

test('a freeze shows when something that arrived meanwhile is handled', async () => {
  const { timer, gaps, watch } = open();
  await timer.advance(2 * INTERVAL_MS);
  timer.jump(2_000);
  watch.check();
  expect(gaps).toEqual([2_000]);
});

test('a suspension shows although the steady clock stood still', async () => {
  const { timer, gaps, watch, suspend } = open();
  await timer.advance(1_000);
  suspend(3_000);
  watch.check();
  expect(gaps).toEqual([3_000]);
});
