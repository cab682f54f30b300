import { create } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import { CancelSchema } from '../src/gen/magnoliakeel/v1/peer_pb';
import FakeEntry from './support/FakeEntry';
import SidecarCase from './support/SidecarCase';

it('reports a timeout immediately and keeps the slot occupied until the backend server answers', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  fixture.entry('a').sendStart('j/0', { ms: 800, timeoutMs: 100 });
  await fixture.advance(101);
  const atTimeout = fixture.receivedMessages('a');
  await fixture.advance(700);
  expect({ atTimeout, atEnd: fixture.receivedMessages('a') }).toMatchInlineSnapshot(`
    {
      "atEnd": "a: grant 0.2",
      "atTimeout": "a: done j/0 TIMED_OUT - 100 ms, credit none",
    }
  `);
});

it('cancels a running task only when its owner asks for it', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  fixture.entry('a').sendStart('j/0', { ms: 800 });
  fixture.entry('a').sendStart('k/0', { ms: 800 });
  await fixture.advance(10);
  const cancel = (job: string) =>
    ({ case: 'cancel', value: create(CancelSchema, { tasks: [FakeEntry.taskId(job)] }) }) as const;
  fixture.entry('a').send(cancel('j/0'));
  fixture.entry('b').send(cancel('k/0'));
  await fixture.advance(10);
  expect(fixture.receivedMessages()).toMatchInlineSnapshot(
    `"a: done j/0 CANCELLED - 10 ms, credit 0.2"`,
  );
});

it('reports a task as lost when the connection closes without an answer', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  fixture.backend.error = { kind: 'lost', reason: 'connection reset' };
  fixture.entry('a').sendStart('j/0');
  await fixture.advance(1);
  fixture.entry('a').sendStart('j/0');
  await fixture.advance(1);
  expect(fixture.receivedMessages('a')).toMatchInlineSnapshot(`
    "a: done j/0 LOST - 0 ms, credit 0.2
    a: refuse j/0 DUPLICATE
    a: grant 2.2"
  `);
});

it('refuses a task as not run while the backend server is unreachable and accepts it afterwards', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  fixture.backend.error = { kind: 'unsent', reason: 'connection refused' };
  fixture.entry('a').sendStart('j/0');
  await fixture.advance(1);
  fixture.backend.error = undefined;
  fixture.announce();
  await fixture.advance(1);
  fixture.entry('a').sendStart('j/0');
  await fixture.advance(100);
  expect(fixture.receivedMessages('a')).toMatchInlineSnapshot(`
    "a: withdraw 0 1 2 3
    a: refuse j/0 BACKEND_GONE
    a: grant 0.3 2.3
    a: done j/0 COMPLETED null 100 ms, credit 0.4"
  `);
});

it('fails a task whose output exceeds the limit', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  fixture.entry('a').sendStart('j/0', { output: 'x'.repeat(70_000) });
  await fixture.advance(100);
  expect(fixture.receivedMessages('a')).toMatchInlineSnapshot(
    `"a: done j/0 FAILED - 100 ms, credit 0.2"`,
  );
});

it('refuses starts after the backend server has withdrawn and finishes tasks in flight', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  const unusedCredit = fixture.entry('a').credits[1]!;
  fixture.entry('a').sendStart('j/0', { ms: 50 });
  await fixture.advance(1);
  fixture.sidecar.withdrawBackend();
  fixture.entry('a').sendStart('j/1', { credit: unusedCredit });
  await fixture.advance(50);
  expect(fixture.receivedMessages('a')).toMatchInlineSnapshot(`
    "a: withdraw 0 1 2 3
    a: refuse j/1 BACKEND_GONE
    a: done j/0 COMPLETED null 50 ms, credit none"
  `);
});

it('shuts down gracefully: withdraws credits, refuses starts, finishes tasks in flight, sends Goodbye', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  const unusedCredit = fixture.entry('a').credits[1]!;
  fixture.entry('a').sendStart('j/0', { ms: 50 });
  await fixture.advance(1);
  fixture.shutdown.abort();
  fixture.entry('a').sendStart('j/1', { credit: unusedCredit });
  await fixture.advance(300);
  expect({ received: fixture.receivedMessages(), ended: fixture.hasStopped })
    .toMatchInlineSnapshot(`
    {
      "ended": true,
      "received": "a: withdraw 0 1 2 3 leaving
    a: refuse j/1 LEAVING
    a: done j/0 COMPLETED null 50 ms, credit none
    a: goodbye
    b: withdraw 0 1 2 3 leaving
    b: goodbye",
    }
  `);
});

it('reports tasks that still run as lost when the drain timeout has passed', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  fixture.entry('a').sendStart('j/0', { ms: 60_000, timeoutMs: 60_000 });
  await fixture.advance(1);
  fixture.shutdown.abort();
  await fixture.advance(2300);
  expect({ a: fixture.receivedMessages('a'), ended: fixture.hasStopped }).toMatchInlineSnapshot(`
    {
      "a": "a: withdraw 0 1 2 3 leaving
    a: done j/0 LOST - 2001 ms, credit none
    a: goodbye",
      "ended": true,
    }
  `);
});

it('links to members that a newer view adds and closes links to removed ones', async () => {
  const fixture = await SidecarCase.open({ listening: 'ab' });
  await fixture.listen('c', SidecarCase.view(2, 'bc'));
  fixture.entry('a').sendView(SidecarCase.view(2, 'bc'));
  await fixture.advance(500);
  const links = ['a', 'b', 'c'].map((name) => fixture.entry(name).link?.closed.aborted === false);
  expect(links).toMatchInlineSnapshot(`
    [
      false,
      true,
      true,
    ]
  `);
});

it('links to no more members than configured', async () => {
  const fixture = await SidecarCase.open({ listening: 'abcd', links: 2 });
  await fixture.advance(500);
  expect(fixture.sidecar.linkCount).toBe(2);
});

it('drops unread messages and closes its links after a long pause of its process', async () => {
  const fixture = await SidecarCase.open();
  const { link } = fixture.entry('a');
  fixture.entry('a').sendStart('j/0');
  fixture.timer.jump(60_000);
  await fixture.advance(1000);
  expect([fixture.backend.starts.size, link === fixture.entry('a').link]).toEqual([0, false]);
});

it('closes a link on which nothing was received for too long and dials again', async () => {
  const fixture = await SidecarCase.open();
  const { link } = fixture.entry('a');
  fixture.network.blackhole('a', 's', 'one');
  await fixture.advance(5600);
  fixture.network.heal('a', 's');
  await fixture.advance(20_000);
  expect([link?.closed.aborted, fixture.entry('a').link?.peer.session]).toMatchInlineSnapshot(`
    [
      true,
      3n,
    ]
  `);
});

it('queues starts without a credit until a slot is idle', async () => {
  const fixture = await SidecarCase.open({ listening: 'a', slots: 1 });
  fixture.entry('a').credits = [];
  fixture.receivedMessages();
  ['j/0', 'k/0', 'l/0'].forEach((name) => fixture.entry('a').sendStart(name, { ms: 50 }));
  fixture.entry('a').send({
    case: 'cancel',
    value: create(CancelSchema, { tasks: [FakeEntry.taskId('k/0')] }),
  });
  await fixture.advance(120);
  expect(fixture.receivedMessages()).toMatchInlineSnapshot(`
    "a: done k/0 CANCELLED - 0 ms, credit none
    a: done j/0 COMPLETED null 50 ms, credit 0.3
    a: done l/0 COMPLETED null 50 ms, credit 0.5"
  `);
});

it('drops queued starts without running them when their link ends', async () => {
  const fixture = await SidecarCase.open({ listening: 'a', slots: 1 });
  fixture.entry('a').credits = [];
  ['j/0', 'k/0'].forEach((name) => fixture.entry('a').sendStart(name, { ms: 50 }));
  await fixture.advance(10);
  fixture.entry('a').link?.close();
  await fixture.advance(200);
  expect([...fixture.backend.starts.keys()]).toMatchInlineSnapshot(`
    [
      "j/0/0",
    ]
  `);
});
