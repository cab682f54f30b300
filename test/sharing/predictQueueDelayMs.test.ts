import { expect, test } from 'vitest';
import combineLoads from '../../src/sharing/combineLoads';
import predictQueueDelayMs from '../../src/sharing/predictQueueDelayMs';

const level = (number: number, waitingMilli: number, startingMilli: number) => ({
  level: number,
  waitingMilli,
  startingMilli,
});

const load = { levels: [level(0, 4_000, 20_000), level(1, 6_000, 8_000), level(2, 0, 2_000)] };

test('a level waits for what starts of it and of those behind it, which it would displace', () => {
  expect([0, 1, 2].map((each) => predictQueueDelayMs(load, each, 1))).toEqual([
    133.33333333333334, 600, 0,
  ]);
});

test('half way in its line it waits half as long', () => {
  expect(predictQueueDelayMs(load, 1, 0.5)).toBe(300);
});

test('where nothing starts, there is no end', () => {
  expect(predictQueueDelayMs({ levels: [level(1, 1, 0)] }, 1, 1)).toBe(Infinity);
});

test('entries count together, one with an old report for less', () => {
  const pooled = combineLoads([
    { load: { levels: [level(1, 1_000, 400)] }, weight: 1 },
    { load: { levels: [level(1, 8_000, 800), level(3, 80, 8)] }, weight: 0.25 },
  ]);
  expect(pooled).toEqual({ levels: [level(1, 3_000, 600), level(3, 20, 2)] });
});
