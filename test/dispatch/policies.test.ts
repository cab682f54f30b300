import { create } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import type PolicyName from '../../src/dispatch/PolicyName';
import { type RefusalCause, RefuseSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import DispatcherCase from '../support/DispatcherCase';

function startsBy(policy: PolicyName): string {
  const fixture = DispatcherCase.create({ policy });
  fixture.openLinks('xyz');
  fixture.enqueue('j', { count: 6 });
  return fixture
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
  const fixture = DispatcherCase.create();
  fixture.openLinks('x');
  fixture.grant('x', 1);
  fixture.enqueue('j', { isWanted: () => false });
  fixture.refuse('x', 'j');
  fixture.grant('x', 1);
  expect(fixture.takeLog()).toMatchInlineSnapshot(`"x: start j/0"`);
});

// A sidecar of a later version may refuse a start for a cause that this entry does not know. The task was removed
// from the running ones before the name of the cause was looked up, which threw "Cannot read properties of undefined
// (reading 'toLowerCase')": it was neither restarted nor settled, and its job hung until its time-out.
it('restarts a task that was refused for an unknown cause', () => {
  const fixture = DispatcherCase.create();
  fixture.openLinks('x');
  fixture.grant('x', 1);
  fixture.enqueue('j');
  const task = { job: 'j', index: 0 };
  fixture.dispatcher.handleRefuse(
    fixture.peer('x'),
    create(RefuseSchema, { task, cause: 77 as RefusalCause }),
  );
  fixture.grant('x', 1);
  expect(fixture.takeLog()).toBe('x: start j/0\nx: start j/0');
});
