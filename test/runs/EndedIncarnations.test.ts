import { expect, test } from 'vitest';
import EndedIncarnations from '../../src/runs/EndedIncarnations';

test('an incarnation has ended if it, or a later one under its id, is known to have', () => {
  const ended = EndedIncarnations.create();
  ended.add({ id: 'a', born: 7 }, 100);
  ended.add({ id: 'a', born: 5 }, 90);
  ended.add({ id: 'b' });
  const incarnations = [
    { id: 'a', born: 6 },
    { id: 'a', born: 8 },
    { id: 'a' },
    { id: 'b' },
    { id: 'c' },
  ];
  expect([incarnations.map((incarnation) => ended.has(incarnation)), ended.tokenOf('a')]).toEqual([
    [true, false, true, true, false],
    100,
  ]);
});

test('of many ended incarnations the oldest are forgotten', () => {
  const ended = EndedIncarnations.create();
  for (let number = 0; number < 100; number += 1) ended.add({ id: `${number}` });
  expect(['0', '99'].map((id) => ended.has({ id }))).toEqual([false, true]);
});
