import { create } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import { CreditSchema, GoodbyeSchema, ReclaimSchema } from '../src/gen/magnoliakeel/v1/peer_pb';
import SidecarCase from './support/SidecarCase';

it('spreads the credits over the first two entries', async () => {
  const run = await SidecarCase.open();
  expect(run.receivedMessages()).toMatchInlineSnapshot(`
    "a: fenced view 1:
    a: grant 0.1 2.1
    b: fenced view 1:
    b: grant 1.1 3.1
    b: fenced view 1:"
  `);
});

it('hands out no credits while one of two members is linked', async () => {
  const run = await SidecarCase.open({ listening: 'a', members: 'ab' });
  expect(run.receivedMessages()).toMatchInlineSnapshot(`"a: fenced view 1:"`);
});

it('hands all credits to the only member', async () => {
  const run = await SidecarCase.open({ listening: 'a' });
  expect(run.receivedMessages()).toMatchInlineSnapshot(`
    "a: fenced view 1:
    a: grant 0.1 1.1 2.1 3.1"
  `);
});

it('gives a later entry none', async () => {
  const run = await SidecarCase.open({ members: 'abc', listening: 'ab' });
  await run.listen('c', SidecarCase.view(1, 'abc'));
  await run.advance(500);
  expect(run.receivedMessages('c')).toMatchInlineSnapshot(`"c: fenced view 1:"`);
});

it('returns the credit with the result', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  run.entry('a').sendStart('j/0', { output: 7 });
  await run.advance(100);
  expect(run.receivedMessages()).toMatchInlineSnapshot(
    `"a: done j/0 COMPLETED 7 100 ms, credit 0.2"`,
  );
});

it('gives a freed credit to an entry whose task is much older', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  run.entry('a').sendStart('j/0', { ms: 300, nextWaitMs: 50 });
  run.entry('b').sendStart('k/0', { ms: 500, nextWaitMs: 160 });
  await run.advance(300);
  expect(run.receivedMessages()).toMatchInlineSnapshot(`
    "a: done j/0 COMPLETED null 300 ms, credit none
    b: grant 0.2"
  `);
});

it('trusts what it heard of a queue for a second', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  run.entry('a').sendStart('j/0', { ms: 1100, timeoutMs: 9000, nextWaitMs: 50 });
  run.entry('b').sendStart('k/0', { ms: 5000, timeoutMs: 9000, nextWaitMs: 160 });
  await run.advance(1100);
  expect(run.receivedMessages()).toMatchInlineSnapshot(
    `"a: done j/0 COMPLETED null 1100 ms, credit 0.2"`,
  );
});

it('renews the credits of a lost entry for the others', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  run.network.partition('a', 's');
  await run.advance(10);
  expect(run.receivedMessages('b')).toMatchInlineSnapshot(`"b: grant 0.2 2.2"`);
});

it('takes the credits of an entry that says goodbye', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  run.entry('a').send({ case: 'goodbye', value: create(GoodbyeSchema) });
  await run.advance(10);
  expect(run.receivedMessages()).toMatchInlineSnapshot(`"b: grant 0.2 2.2"`);
});

it('renews reclaimed credits that are idle', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  const lent = [...run.entry('a').credits];
  run.entry('b').sendStart('j/0', { credit: lent[0]!, ms: 900 });
  await run.advance(1);
  run.entry('a').send({ case: 'reclaim', value: create(ReclaimSchema, { credits: lent }) });
  await run.advance(1);
  expect(run.receivedMessages()).toMatchInlineSnapshot(`"a: grant 2.2"`);
});

it('refuses a credit that was used', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  const credit = run.entry('a').credits[0]!;
  run.entry('a').sendStart('j/0', { credit });
  run.entry('a').sendStart('j/1', { credit });
  run.entry('a').sendStart('j/2', { credit: create(CreditSchema, { slot: 99, generation: 1 }) });
  await run.advance(1);
  expect(run.receivedMessages('a')).toMatchInlineSnapshot(`
    "a: refuse j/1 STALE_CREDIT
    a: refuse j/2 STALE_CREDIT"
  `);
});

it('withdraws when the backend server stops renewing, and grants anew when it is back', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  await run.advance(3000);
  run.announce();
  await run.advance(1);
  expect(run.receivedMessages()).toMatchInlineSnapshot(`
    "a: withdraw 0 1 2 3
    a: grant 0.3 2.3
    b: withdraw 0 1 2 3
    b: grant 1.3 3.3"
  `);
});
