import { expect, test } from 'vitest';
import DurationModel from '../../src/batches/DurationModel';

/** A model that has repeatedly learned from pairs of an estimate and an actual duration. */
function trainedModel(pairs: readonly (readonly [number, number])[], times = 100): DurationModel {
  const model = DurationModel.create();
  for (let round = 0; round < times; round += 1) {
    pairs.forEach(([estimateMs, tookMs]) => model.learn('q', estimateMs, tookMs));
  }
  return model;
}

test('without any history an estimate is taken as it is', () => {
  expect(DurationModel.create().predict('q', 250)).toBe(250);
});

test('a task without an estimate has no expected duration', () => {
  expect(trainedModel([[100, 200]]).predict('q', 0)).toBe(0);
});

test('estimates that are wrong by the same factor are corrected by it', () => {
  const model = trainedModel([
    [100, 200],
    [400, 800],
  ]);
  expect([100, 400].map((estimateMs) => model.predict('q', estimateMs))).toEqual([190, 760]);
});

test('estimates without information are replaced by the average duration', () => {
  const model = trainedModel([
    [50, 200],
    [800, 200],
  ]);
  expect([50, 800].map((estimateMs) => model.predict('q', estimateMs))).toEqual([198, 202]);
});

test('an unknown queue learns nothing from others', () => {
  expect(trainedModel([[100, 800]]).predict('other', 100)).toBe(100);
});

test('one or two tasks change little', () => {
  expect(trainedModel([[100, 800]], 1).predict('q', 100)).toBeLessThan(130);
});

test('no estimate is corrected by more than a factor of eight', () => {
  expect(trainedModel([[10, 10_000]]).predict('q', 10)).toBe(80);
});
