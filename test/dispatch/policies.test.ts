import { create } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import type PolicyName from '../../src/dispatch/PolicyName';
import { type RefusalCause, RefuseSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import DispatcherCase from '../support/DispatcherCase';

function startsBy(policy: PolicyName): string {
  const run = DispatcherCase.create({ policy });
  run.openLinks('xyz');
  run.enqueue('j', { count: 6 });
  return run
    .takeLog()
    .split('\n')
    .map((line) => line[0])
    .join('');
}

it('places tasks at once with each policy that needs no credits', () => {
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

it('does not start a refused task again when its result is no longer needed', () => {
  const run = DispatcherCase.create();
  run.openLinks('x');
  run.grant('x', 1);
  run.enqueue('j', { isWanted: () => false });
  run.refuse('x', 'j');
  run.grant('x', 1);
  expect(run.takeLog()).toMatchInlineSnapshot(`"x: start j/0"`);
});

// A sidecar of a later version may refuse a start for a cause that this entry does not know. The task was removed
// from the running ones before the name of the cause was looked up, which threw "Cannot read properties of undefined
// (reading 'toLowerCase')": it was neither restarted nor settled, and its job hung until its time-out.
it('restarts a task that was refused for an unknown cause', () => {
  const run = DispatcherCase.create();
  run.openLinks('x');
  run.grant('x', 1);
  run.enqueue('j');
  const task = { job: 'j', index: 0 };
  run.dispatcher.handleRefuse(
    run.peer('x'),
    create(RefuseSchema, { task, cause: 77 as RefusalCause }),
  );
  run.grant('x', 1);
  expect(run.takeLog()).toBe('x: start j/0\nx: start j/0');
});
