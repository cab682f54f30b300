import { expect, test } from 'vitest';
import FleetDurationRatios from '../../src/placement/FleetDurationRatios';

type Times = number | undefined;

/** Speeds against the middle, in hundredths, of backend servers "b0", "b1" and so on; those alike are left out. */
function relative(
  told: readonly Times[],
  fleet = FleetDurationRatios.create(),
): Record<string, number> {
  const places = told.map((times, number) => ({ backend: `b${number}`, durationRatio: times }));
  const speeds = [...fleet.relativeToMean(places)];
  return Object.fromEntries(
    speeds.map(([{ backend }, times]) => [backend, Math.round(times * 100)]),
  );
}

test('two kinds of machines are told apart, however wrong the estimates are for all', () => {
  const fast = { b0: 74, b1: 74, b2: 181 };
  expect([relative([0.7, 0.7, 1.7]), relative([2.1, 2.1, 5.1])]).toEqual([fast, fast]);
});

test('machines of which none takes 1.4 times the middle count as alike', () => {
  expect([relative([0.8, 1, 1.25, 1]), relative([0.8, 1, 1.35, 1])]).toEqual([{}, {}]);
});

test('one that is far off does not make the others seem fast', () => {
  expect(relative([1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 4])).toEqual({ b11: 365 });
});

test('one of which nothing is told counts as working as estimated', () => {
  expect(relative([undefined, undefined, undefined, 2])).toEqual({
    b0: 84,
    b1: 84,
    b2: 84,
    b3: 168,
  });
});

test('of two neither is unlike the others', () => {
  expect(relative([0.7, 1.7])).toEqual({});
});

test('what was told of a backend server holds when its sidecar has started again', () => {
  const fleet = FleetDurationRatios.create();
  relative([0.7, 0.7, 1.7], fleet);
  expect(relative([0.7, 0.7, undefined], fleet)).toEqual({ b0: 74, b1: 74, b2: 181 });
});
