import { create } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import { CreditSchema, GoodbyeSchema, ReclaimSchema } from '../src/gen/magnoliakeel/v1/peer_pb';
import SidecarCase from './support/SidecarCase';

it('distributes the credits evenly over the first two linked members', async () => {
  const fixture = await SidecarCase.open();
  expect(fixture.receivedMessages()).toMatchInlineSnapshot(`
    "a: fenced view 1:
    a: grant 0.1 2.1
    b: fenced view 1:
    b: grant 1.1 3.1
    b: fenced view 1:"
  `);
});

it('grants no credits while only one of two members is linked', async () => {
  const fixture = await SidecarCase.open({ listening: 'a', members: 'ab' });
  expect(fixture.receivedMessages()).toMatchInlineSnapshot(`"a: fenced view 1:"`);
});

it('grants all credits to the only member of the view', async () => {
  const fixture = await SidecarCase.open({ listening: 'a' });
  expect(fixture.receivedMessages()).toMatchInlineSnapshot(`
    "a: fenced view 1:
    a: grant 0.1 1.1 2.1 3.1"
  `);
});

it('grants no credits to an entry that links after all credits were granted', async () => {
  const fixture = await SidecarCase.open({ members: 'abc', listening: 'ab' });
  await fixture.listen('c', SidecarCase.view(1, 'abc'));
  await fixture.advance(500);
  expect(fixture.receivedMessages('c')).toMatchInlineSnapshot(`"c: fenced view 1:"`);
});

it('sends the renewed credit of the slot with the result', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  fixture.entry('a').sendStart('j/0', { output: 7 });
  await fixture.advance(100);
  expect(fixture.receivedMessages()).toMatchInlineSnapshot(
    `"a: done j/0 COMPLETED 7 100 ms, credit 0.2"`,
  );
});

it('grants a freed credit to another entry whose oldest task has waited much longer', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  fixture.entry('a').sendStart('j/0', { ms: 300, nextWaitMs: 50 });
  fixture.entry('b').sendStart('k/0', { ms: 500, nextWaitMs: 160 });
  await fixture.advance(300);
  expect(fixture.receivedMessages()).toMatchInlineSnapshot(`
    "a: done j/0 COMPLETED null 300 ms, credit none
    b: grant 0.2"
  `);
});

it('ignores a reported waiting time that is older than one second', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  fixture.entry('a').sendStart('j/0', { ms: 1100, timeoutMs: 9000, nextWaitMs: 50 });
  fixture.entry('b').sendStart('k/0', { ms: 5000, timeoutMs: 9000, nextWaitMs: 160 });
  await fixture.advance(1100);
  expect(fixture.receivedMessages()).toMatchInlineSnapshot(
    `"a: done j/0 COMPLETED null 1100 ms, credit 0.2"`,
  );
});

it('grants the credits of a lost entry to the remaining entry', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  fixture.network.partition('a', 's');
  await fixture.advance(10);
  expect(fixture.receivedMessages('b')).toMatchInlineSnapshot(`"b: grant 0.2 2.2"`);
});

it('grants the credits of an entry that sends Goodbye to the remaining entry', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  fixture.entry('a').send({ case: 'goodbye', value: create(GoodbyeSchema) });
  await fixture.advance(10);
  expect(fixture.receivedMessages()).toMatchInlineSnapshot(`"b: grant 0.2 2.2"`);
});

it('replaces reclaimed credits that are unused', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  const lent = [...fixture.entry('a').credits];
  fixture.entry('b').sendStart('j/0', { credit: lent[0]!, ms: 900 });
  await fixture.advance(1);
  fixture.entry('a').send({ case: 'reclaim', value: create(ReclaimSchema, { credits: lent }) });
  await fixture.advance(1);
  expect(fixture.receivedMessages()).toMatchInlineSnapshot(`"a: grant 2.2"`);
});

it('refuses starts with a used credit or an unknown slot', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  const credit = fixture.entry('a').credits[0]!;
  fixture.entry('a').sendStart('j/0', { credit });
  fixture.entry('a').sendStart('j/1', { credit });
  fixture
    .entry('a')
    .sendStart('j/2', { credit: create(CreditSchema, { slot: 99, generation: 1 }) });
  await fixture.advance(1);
  expect(fixture.receivedMessages('a')).toMatchInlineSnapshot(`
    "a: refuse j/1 STALE_CREDIT
    a: refuse j/2 STALE_CREDIT"
  `);
});

it('withdraws credits when the announcement expires and grants new ones when it is repeated', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  await fixture.advance(3000);
  fixture.announce();
  await fixture.advance(1);
  expect(fixture.receivedMessages()).toMatchInlineSnapshot(`
    "a: withdraw 0 1 2 3
    a: grant 0.3 2.3
    b: withdraw 0 1 2 3
    b: grant 1.3 3.3"
  `);
});
