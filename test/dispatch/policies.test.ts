import { expect, it } from 'vitest';
import type PolicyName from '../../src/dispatch/PolicyName';
import DispatcherCase from '../support/DispatcherCase';

function startsBy(policy: PolicyName): string {
  const run = DispatcherCase.of({ policy });
  run.link('xyz');
  run.enqueue('j', { count: 6 });
  return run
    .take()
    .split('\n')
    .map((line) => line[0])
    .join('');
}

it('places tasks at once by each policy that needs no credits', () => {
  expect({
    random: startsBy('random'),
    roundRobin: startsBy('roundRobin'),
    powerOfTwo: startsBy('powerOfTwo'),
    leastOutstanding: startsBy('leastOutstanding'),
    credits: startsBy('credits'),
  }).toMatchInlineSnapshot(`
    {
      "credits": "",
      "leastOutstanding": "xyzxyz",
      "powerOfTwo": "xxzyyz",
      "random": "xxxxxz",
      "roundRobin": "yzxyzx",
    }
  `);
});

it('does not start a refused task again when its result is not wanted any more', () => {
  const run = DispatcherCase.of();
  run.link('x');
  run.grant('x', 1);
  run.enqueue('j', { isWanted: () => false });
  run.refuse('x', 'j');
  run.grant('x', 1);
  expect(run.take()).toMatchInlineSnapshot(`"x: start j/0"`);
});
