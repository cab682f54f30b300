import { expect, test } from 'vitest';
import FleetDurationRatios from '../../src/placement/FleetDurationRatios';

type Ratio = number | undefined;

/**
 * Duration ratios relative to the fleet's mean, in hundredths, of backend servers "b0", "b1" and so on, without
 * those that are alike.
 */
function relative(
  reported: readonly Ratio[],
  fleet = FleetDurationRatios.create(),
): Record<string, number> {
  const backends = reported.map((ratio, number) => ({
    backend: `b${number}`,
    durationRatio: ratio,
  }));
  const relativeRatios = [...fleet.relativeToMean(backends)];
  return Object.fromEntries(
    relativeRatios.map(([{ backend }, ratio]) => [backend, Math.round(ratio * 100)]),
  );
}

test('two kinds of machines are distinguished, however wrong the estimates are for all', () => {
  const fast = { b0: 74, b1: 74, b2: 181 };
  expect([relative([0.7, 0.7, 1.7]), relative([2.1, 2.1, 5.1])]).toEqual([fast, fast]);
});

test('machines of which none differs from the mean by a factor of 1.4 count as alike', () => {
  expect([relative([0.8, 1, 1.25, 1]), relative([0.8, 1, 1.35, 1])]).toEqual([{}, {}]);
});

test('an outlier does not make the others seem fast', () => {
  expect(relative([1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 4])).toEqual({ b11: 365 });
});

test('a backend server without a report counts as working as estimated', () => {
  expect(relative([undefined, undefined, undefined, 2])).toEqual({
    b0: 84,
    b1: 84,
    b2: 84,
    b3: 168,
  });
});

test('two backend servers never differ from each other', () => {
  expect(relative([0.7, 1.7])).toEqual({});
});

test('a reported ratio is kept when the sidecar restarts', () => {
  const fleet = FleetDurationRatios.create();
  relative([0.7, 0.7, 1.7], fleet);
  expect(relative([0.7, 0.7, undefined], fleet)).toEqual({ b0: 74, b1: 74, b2: 181 });
});
