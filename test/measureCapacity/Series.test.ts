import { expect, test } from 'vitest';
import Series from '../../tools/measureCapacity/Series';

test('the slope is the growth per unit of size, with its median and range over the rounds', () => {
  const series = Series.over('link', 'memory', 'MB');
  const rounds = [
    [10, 12, 14],
    [10, 13, 16],
    [20, 21, 22],
  ];
  rounds.forEach((values, round) =>
    values.forEach((value, size) => series.add(round, value, size)),
  );
  expect(series.slope()).toEqual({ median: 2, min: 1, max: 3 });
  expect(series.points()[0]).toEqual([0, { median: 10, min: 10, max: 20 }]);
});

test('a quantity without sizes has no slope', () => {
  const series = Series.of('removal', 'ms');
  series.add(1, 4000);
  series.add(2, 5000);
  expect(series.slope()).toBeUndefined();
  expect(series.points()).toEqual([[0, { median: 4500, min: 4000, max: 5000 }]]);
});
