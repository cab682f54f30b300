import { expect, test } from 'vitest';
import type TimerService from '../../src/core/TimerService';
import PauseDetector from '../../src/peering/PauseDetector';
import ManualTimer from '../support/ManualTimer';

const INTERVAL_MS = 400;

/** A detector whose wall clock can be moved independently of the monotonic one, and the pauses it reports. */
function createDetector() {
  const timer = ManualTimer.create();
  const pauses: number[] = [];
  let wallAhead = 0;
  const clocks: TimerService = {
    now: () => timer.now(),
    wall: () => timer.wall() + wallAhead,
    after: (delayMs, handler) => timer.after(delayMs, handler),
    every: (intervalMs, handler) => timer.every(intervalMs, handler),
    sleep: (delayMs, signal) => timer.sleep(delayMs, signal),
  };
  const detector = PauseDetector.start(clocks, INTERVAL_MS, (pauseMs) => pauses.push(pauseMs));
  const suspend = (ms: number): void => {
    wallAhead += ms;
  };
  return { timer, pauses, detector, suspend };
}

test('no pause is reported while the process runs', async () => {
  const { timer, pauses } = createDetector();
  await timer.advance(5_000);
  expect(pauses).toEqual([]);
});

test('a pause is detected by the check before an arrived message is handled', async () => {
  const { timer, pauses, detector } = createDetector();
  await timer.advance(2 * INTERVAL_MS);
  timer.jump(2_000);
  detector.check();
  expect(pauses).toEqual([2_000]);
});

test('a suspension is detected although the monotonic clock stopped', async () => {
  const { timer, pauses, detector, suspend } = createDetector();
  await timer.advance(1_000);
  suspend(3_000);
  detector.check();
  expect(pauses).toEqual([3_000]);
});
