import { expect, test } from 'vitest';
import Random from '../../src/core/Random';
import DurationRatioEstimator from '../../src/placement/DurationRatioEstimator';

interface Work {
  readonly factor: number;
  readonly batches?: number;
  /** Share of tasks that take seven times as long as the others. */
  readonly outlierShare?: number;
  /** Estimates are off by up to this factor in either direction, the same for all tasks of a batch. */
  readonly errorFactor?: number;
}

/** The duration ratio after batches of four tasks of 100 ms, to two decimal places. */
function estimated({
  factor,
  batches = 48,
  outlierShare = 0,
  errorFactor = 1,
}: Work): number | undefined {
  const random = Random.fromSeed(1);
  const estimator = DurationRatioEstimator.create();
  for (let batch = 0; batch < batches; batch += 1) {
    const estimateMs = 100 * errorFactor ** (2 * random.unit() - 1);
    for (let task = 0; task < 4; task += 1) {
      const tookMs = 100 * factor * (random.unit() < outlierShare ? 7 : 1);
      estimator.addSample(String(batch), estimateMs, tookMs);
    }
  }
  return estimator.ratio === undefined ? undefined : Number(estimator.ratio.toFixed(2));
}

test('the ratio of slow and fast machines is learned from their runs', () => {
  expect([estimated({ factor: 0.7 }), estimated({ factor: 1.7 })]).toEqual([0.71, 1.67]);
});

test('there is no ratio after a few batches, and one closer to 1 than measured after some', () => {
  expect([7, 8, 16, 48].map((batches) => estimated({ factor: 2, batches }))).toEqual([
    undefined,
    1.81,
    1.9,
    1.97,
  ]);
});

test('tasks that take seven times as long do not make a machine slow', () => {
  expect(estimated({ factor: 1, outlierShare: 0.1 })).toBe(1);
});

test('estimates that are wrong by 40% leave the ratio within the factor up to which machines are alike', () => {
  expect(estimated({ factor: 1, errorFactor: 1.4 })).toBeCloseTo(1, 1);
});

test('old batches no longer count', () => {
  const estimator = DurationRatioEstimator.create();
  for (let batch = 0; batch < 96; batch += 1)
    estimator.addSample(`${batch}`, 100, batch < 48 ? 300 : 100);
  expect(estimator.ratio).toBe(1);
});

test('tasks without an estimate are ignored', () => {
  const estimator = DurationRatioEstimator.create();
  for (let batch = 0; batch < 20; batch += 1) estimator.addSample(`${batch}`, 0, 100);
  expect(estimator.ratio).toBeUndefined();
});
