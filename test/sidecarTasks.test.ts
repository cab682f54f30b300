import { create } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import { CancelSchema } from '../src/gen/magnoliakeel/v1/peer_pb';
import FakeEntry from './support/FakeEntry';
import SidecarCase from './support/SidecarCase';

it('reports a timeout at once and keeps the slot until the backend server answers', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  run.entry('a').sendStart('j/0', { ms: 800, timeoutMs: 100 });
  await run.advance(101);
  const atTimeout = run.receivedMessages('a');
  await run.advance(700);
  expect({ atTimeout, atEnd: run.receivedMessages('a') }).toMatchInlineSnapshot(`
    {
      "atEnd": "a: grant 0.2",
      "atTimeout": "a: done j/0 TIMED_OUT - 100 ms, credit none",
    }
  `);
});

it('ends a running task that is cancelled by its owner only', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  run.entry('a').sendStart('j/0', { ms: 800 });
  run.entry('a').sendStart('k/0', { ms: 800 });
  await run.advance(10);
  const cancel = (job: string) =>
    ({ case: 'cancel', value: create(CancelSchema, { tasks: [FakeEntry.taskId(job)] }) }) as const;
  run.entry('a').send(cancel('j/0'));
  run.entry('b').send(cancel('k/0'));
  await run.advance(10);
  expect(run.receivedMessages()).toMatchInlineSnapshot(
    `"a: done j/0 CANCELLED - 10 ms, credit 0.2"`,
  );
});

it('reports a task as lost when the connection ended without an answer', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  run.backend.error = { kind: 'lost', reason: 'connection reset' };
  run.entry('a').sendStart('j/0');
  await run.advance(1);
  run.entry('a').sendStart('j/0');
  await run.advance(1);
  expect(run.receivedMessages('a')).toMatchInlineSnapshot(`
    "a: done j/0 LOST - 0 ms, credit 0.2
    a: refuse j/0 DUPLICATE
    a: grant 2.2"
  `);
});

it('refuses a task as not run when the backend server cannot be reached, and takes it later', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  run.backend.error = { kind: 'unsent', reason: 'connection refused' };
  run.entry('a').sendStart('j/0');
  await run.advance(1);
  run.backend.error = undefined;
  run.announce();
  await run.advance(1);
  run.entry('a').sendStart('j/0');
  await run.advance(100);
  expect(run.receivedMessages('a')).toMatchInlineSnapshot(`
    "a: withdraw 0 1 2 3
    a: refuse j/0 BACKEND_GONE
    a: grant 0.3 2.3
    a: done j/0 COMPLETED null 100 ms, credit 0.4"
  `);
});

it('fails a task whose output is too large', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  run.entry('a').sendStart('j/0', { output: 'x'.repeat(70_000) });
  await run.advance(100);
  expect(run.receivedMessages('a')).toMatchInlineSnapshot(
    `"a: done j/0 FAILED - 100 ms, credit 0.2"`,
  );
});

it('takes no starts while the backend server leaves, and finishes those in flight', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  const spare = run.entry('a').credits[1]!;
  run.entry('a').sendStart('j/0', { ms: 50 });
  await run.advance(1);
  run.sidecar.withdrawBackend();
  run.entry('a').sendStart('j/1', { credit: spare });
  await run.advance(50);
  expect(run.receivedMessages('a')).toMatchInlineSnapshot(`
    "a: withdraw 0 1 2 3
    a: refuse j/1 BACKEND_GONE
    a: done j/0 COMPLETED null 50 ms, credit none"
  `);
});

it('leaves: withdraws at once, refuses starts, finishes those in flight, says goodbye', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  const spare = run.entry('a').credits[1]!;
  run.entry('a').sendStart('j/0', { ms: 50 });
  await run.advance(1);
  run.shutdown.abort();
  run.entry('a').sendStart('j/1', { credit: spare });
  await run.advance(300);
  expect({ heard: run.receivedMessages(), ended: run.hasStopped }).toMatchInlineSnapshot(`
    {
      "ended": true,
      "heard": "a: withdraw 0 1 2 3 leaving
    a: refuse j/1 LEAVING
    a: done j/0 COMPLETED null 50 ms, credit none
    a: goodbye
    b: withdraw 0 1 2 3 leaving
    b: goodbye",
    }
  `);
});

it('reports what still runs as lost when the time for leaving is over', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  run.entry('a').sendStart('j/0', { ms: 60_000, timeoutMs: 60_000 });
  await run.advance(1);
  run.shutdown.abort();
  await run.advance(2300);
  expect({ a: run.receivedMessages('a'), ended: run.hasStopped }).toMatchInlineSnapshot(`
    {
      "a": "a: withdraw 0 1 2 3 leaving
    a: done j/0 LOST - 2001 ms, credit none
    a: goodbye",
      "ended": true,
    }
  `);
});

it('links to members that it learns of, and drops those that go', async () => {
  const run = await SidecarCase.open({ listening: 'ab' });
  await run.listen('c', SidecarCase.view(2, 'bc'));
  run.entry('a').sendView(SidecarCase.view(2, 'bc'));
  await run.advance(500);
  const links = ['a', 'b', 'c'].map((name) => run.entry(name).link?.closed.aborted === false);
  expect(links).toMatchInlineSnapshot(`
    [
      false,
      true,
      true,
    ]
  `);
});

it('links to no more members than the settings ask for', async () => {
  const run = await SidecarCase.open({ listening: 'abcd', links: 2 });
  await run.advance(500);
  expect(run.sidecar.linkCount).toBe(2);
});

it('drops what waited on its links while it was stopped for long', async () => {
  const run = await SidecarCase.open();
  const { link } = run.entry('a');
  run.entry('a').sendStart('j/0');
  run.timer.jump(60_000);
  await run.advance(1000);
  expect([run.backend.starts.size, link === run.entry('a').link]).toEqual([0, false]);
});

it('closes a link that has been silent for too long and dials again', async () => {
  const run = await SidecarCase.open();
  const { link } = run.entry('a');
  run.network.blackhole('a', 's', 'one');
  await run.advance(5600);
  run.network.heal('a', 's');
  await run.advance(20_000);
  expect([link?.closed.aborted, run.entry('a').link?.peer.session]).toMatchInlineSnapshot(`
    [
      true,
      3n,
    ]
  `);
});

it('queues starts without a credit until a slot is free', async () => {
  const run = await SidecarCase.open({ listening: 'a', slots: 1 });
  run.entry('a').credits = [];
  run.receivedMessages();
  ['j/0', 'k/0', 'l/0'].forEach((name) => run.entry('a').sendStart(name, { ms: 50 }));
  run.entry('a').send({
    case: 'cancel',
    value: create(CancelSchema, { tasks: [FakeEntry.taskId('k/0')] }),
  });
  await run.advance(120);
  expect(run.receivedMessages()).toMatchInlineSnapshot(`
    "a: done k/0 CANCELLED - 0 ms, credit none
    a: done j/0 COMPLETED null 50 ms, credit 0.3
    a: done l/0 COMPLETED null 50 ms, credit 0.5"
  `);
});

it('drops waiting starts unrun when their link ends', async () => {
  const run = await SidecarCase.open({ listening: 'a', slots: 1 });
  run.entry('a').credits = [];
  ['j/0', 'k/0'].forEach((name) => run.entry('a').sendStart(name, { ms: 50 }));
  await run.advance(10);
  run.entry('a').link?.close();
  await run.advance(200);
  expect([...run.backend.starts.keys()]).toMatchInlineSnapshot(`
    [
      "j/0/0",
    ]
  `);
});
