import { expect, test } from 'vitest';
import combineLoads from '../../src/sharing/combineLoads';
import predictQueueDelayMs from '../../src/sharing/predictQueueDelayMs';

const level = (number: number, waitingMilli: number, startingMilli: number) => ({
  level: number,
  waitingMilli,
  startingMilli,
});

const load = { levels: [level(0, 4_000, 20_000), level(1, 6_000, 8_000), level(2, 0, 2_000)] };

test('a level waits for starts of its own and of less urgent levels, which it would displace', () => {
  expect([0, 1, 2].map((each) => predictQueueDelayMs(load, each, 1))).toEqual([
    133.33333333333334, 600, 0,
  ]);
});

test('halfway through the backlog of its level a batch waits half as long', () => {
  expect(predictQueueDelayMs(load, 1, 0.5)).toBe(300);
});

test('where nothing starts, the predicted delay is infinite', () => {
  expect(predictQueueDelayMs({ levels: [level(1, 1, 0)] }, 1, 1)).toBe(Infinity);
});

test('the loads of entries are added, an old report with less weight', () => {
  const combined = combineLoads([
    { load: { levels: [level(1, 1_000, 400)] }, weight: 1 },
    { load: { levels: [level(1, 8_000, 800), level(3, 80, 8)] }, weight: 0.25 },
  ]);
  expect(combined).toEqual({ levels: [level(1, 3_000, 600), level(3, 20, 2)] });
});
