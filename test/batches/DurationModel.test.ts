import { expect, test } from 'vitest';
import DurationModel from '../../src/batches/DurationModel';

/** Shows the model pairs of an estimate and the time taken, again and again. */
function taught(pairs: readonly (readonly [number, number])[], times = 100): DurationModel {
  const model = DurationModel.create();
  for (let round = 0; round < times; round += 1) {
    pairs.forEach(([estimateMs, tookMs]) => model.learn('q', estimateMs, tookMs));
  }
  return model;
}

test('before anything is known an estimate is taken as it comes', () => {
  expect(DurationModel.create().predict('q', 250)).toBe(250);
});

test('a batch without an estimate is expected to take nothing', () => {
  expect(taught([[100, 200]]).predict('q', 0)).toBe(0);
});

test('estimates that are wrong by the same factor are corrected by it', () => {
  const model = taught([
    [100, 200],
    [400, 800],
  ]);
  expect([100, 400].map((estimateMs) => model.predict('q', estimateMs))).toEqual([190, 760]);
});

test('estimates that say nothing give way to the time that tasks take', () => {
  const model = taught([
    [50, 200],
    [800, 200],
  ]);
  expect([50, 800].map((estimateMs) => model.predict('q', estimateMs))).toEqual([198, 202]);
});

test('a queue that was not seen learns nothing from others', () => {
  expect(taught([[100, 800]]).predict('other', 100)).toBe(100);
});

test('a task or two change little', () => {
  expect(taught([[100, 800]], 1).predict('q', 100)).toBeLessThan(130);
});

test('no estimate is corrected by more than eight times', () => {
  expect(taught([[10, 10_000]]).predict('q', 10)).toBe(80);
});
