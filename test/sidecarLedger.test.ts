import { create } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import {
  AdoptSchema,
  ConfigurationSchema,
  ReconcileSchema,
} from '../src/gen/magnoliakeel/v1/peer_pb';
import FakeEntry from './support/FakeEntry';
import SidecarCase from './support/SidecarCase';

/** Keeps heartbeats and announcement renewals from becoming due during a test. */
const withoutPeriodicMessages = {
  heartbeat: { intervalMs: 1e7, suspectMs: 1e7, closeMs: 1e7 },
  renewMs: 1e7,
};

it('records a start before it calls the backend server', async () => {
  const fixture = await SidecarCase.open();
  const bytes: number[] = [fixture.sidecar.ledgerBytes];
  fixture.backend.onRun = () => bytes.push(fixture.sidecar.ledgerBytes);
  fixture.entry('a').sendStart('j/0');
  await fixture.advance(1);
  expect(bytes).toMatchInlineSnapshot(`
    [
      0,
      950,
    ]
  `);
});

it('refuses a duplicate start of an attempt while it runs and after it has ended', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  fixture.entry('a').sendStart('j/0');
  fixture.entry('a').sendStart('j/0');
  await fixture.advance(100);
  fixture.entry('b').sendStart('j/0');
  await fixture.advance(100);
  expect({ received: fixture.receivedMessages(), starts: [...fixture.backend.starts] })
    .toMatchInlineSnapshot(`
    {
      "received": "a: refuse j/0 DUPLICATE
    a: grant 2.2
    a: done j/0 COMPLETED null 100 ms, credit 0.2
    b: refuse j/0 DUPLICATE
    b: grant 1.2",
      "starts": [
        [
          "j/0/0",
          1,
        ],
      ],
    }
  `);
});

it('refuses a duplicate start with a stale credit as DUPLICATE, not STALE_CREDIT', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  const credit = fixture.entry('a').credits[0]!;
  fixture.entry('a').sendStart('j/0', { credit });
  fixture.entry('a').sendStart('j/0', { credit });
  await fixture.advance(1);
  expect(fixture.receivedMessages('a')).toMatchInlineSnapshot(`"a: refuse j/0 DUPLICATE"`);
});

it('refuses starts by owners outside the newest view', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  fixture.entry('b').sendView(SidecarCase.view(2, 'b'));
  fixture.entry('a').sendStart('j/0');
  fixture.entry('b').sendStart('k/0', { owner: 'a' });
  await fixture.advance(1);
  expect({ received: fixture.receivedMessages(), starts: fixture.backend.starts.size })
    .toMatchInlineSnapshot(`
    {
      "received": "a: fenced view 2:
    b: fenced view 2:
    b: refuse k/0 FENCED
    b: grant 1.2
    b: grant 0.2 2.2",
      "starts": 0,
    }
  `);
});

it('lists the jobs of a removed owner, moves them and sends their results to the new owner', async () => {
  const fixture = await SidecarCase.open();
  fixture.entry('a').sendStart('j/0', { ms: 10, output: 'early' });
  fixture.entry('a').sendStart('j/1', { ms: 500, output: 'late' });
  await fixture.advance(100);
  fixture.receivedMessages();
  fixture.entry('b').sendView(SidecarCase.view(2, 'b'));
  await fixture.advance(1);
  const adopt = create(AdoptSchema, { jobs: ['j', 'unknown'], owner: 'b', viewNumber: 2n });
  fixture.entry('b').send({ case: 'adopt', value: adopt });
  await fixture.advance(500);
  expect(fixture.receivedMessages('b')).toMatchInlineSnapshot(`
    "b: fenced view 2: j
    b: grant 0.3
    b: adopted j/0 COMPLETED "early", j/1 running
    b: grant 2.2
    b: done j/1 COMPLETED "late" 500 ms, credit none"
  `);
});

it('ignores an adoption by an owner outside the view', async () => {
  const fixture = await SidecarCase.open();
  fixture.entry('a').sendStart('j/0');
  await fixture.advance(1);
  fixture.receivedMessages();
  const adopt = create(AdoptSchema, { jobs: ['j'], owner: 'x' });
  fixture.entry('b').send({ case: 'adopt', value: adopt });
  await fixture.advance(100);
  expect(fixture.receivedMessages()).toMatchInlineSnapshot(
    `"a: done j/0 COMPLETED null 100 ms, credit 0.2"`,
  );
});

it('ignores a view that is older than the newest one', async () => {
  const fixture = await SidecarCase.open();
  fixture.entry('a').sendView(SidecarCase.view(3, 'ab'));
  await fixture.advance(1);
  fixture.entry('b').sendView(SidecarCase.view(2, 'b'));
  await fixture.advance(1);
  expect([fixture.sidecar.viewNumber, fixture.sidecar.linkCount]).toMatchInlineSnapshot(`
    [
      3n,
      2,
    ]
  `);
});

it('answers Reconcile on a new link with the tasks never started and the results of ended ones', async () => {
  const fixture = await SidecarCase.open();
  fixture.entry('a').sendStart('j/0', { ms: 10 });
  fixture.entry('a').sendStart('j/1', { ms: 900 });
  await fixture.advance(5);
  fixture.network.partition('a', 's');
  await fixture.advance(100);
  fixture.network.heal('a', 's');
  await fixture.advance(500);
  fixture.receivedMessages();
  const tasks = ['j/0', 'j/1', 'j/2'].map(FakeEntry.taskId);
  fixture.entry('a').send({ case: 'reconcile', value: create(ReconcileSchema, { tasks }) });
  await fixture.advance(400);
  expect(fixture.receivedMessages('a')).toMatchInlineSnapshot(`
    "a: reconciled not held: j/2
    a: done j/0 COMPLETED null 10 ms, credit none
    a: done j/1 COMPLETED null 900 ms, credit 2.2"
  `);
});

it('refuses starts while the ledger is full and grants credits again when records expire', async () => {
  const fixture = await SidecarCase.open({ ...withoutPeriodicMessages, ledgerBytes: 1500 });
  fixture.receivedMessages();
  fixture.entry('a').sendStart('j/0', { ms: 10 });
  fixture.entry('a').sendStart('k/0', { ms: 10 });
  await fixture.advance(20);
  const full = fixture.receivedMessages();
  await fixture.advance(620_000);
  expect({ full, later: fixture.receivedMessages() }).toMatchInlineSnapshot(`
    {
      "full": "a: refuse k/0 LEDGER_FULL
    a: done j/0 COMPLETED null 10 ms, credit none",
      "later": "a: grant 0.2 2.2",
    }
  `);
});

it('keeps a record until its retention plus the clock skew has passed since the job was created', async () => {
  const fixture = await SidecarCase.open(withoutPeriodicMessages);
  const manifest = JSON.stringify({ services: [{ name: 'booking', retentionMs: 60_000 }] });
  const value = create(ConfigurationSchema, { version: 1n, manifest });
  fixture.entry('a').send({ case: 'configuration', value });
  fixture.entry('a').sendStart('j/0', { ms: 10 });
  await fixture.advance(60_500);
  const kept = fixture.sidecar.ledgerBytes;
  await fixture.advance(10_000);
  expect({ kept, after: fixture.sidecar.ledgerBytes }).toMatchInlineSnapshot(`
    {
      "after": 0,
      "kept": 954,
    }
  `);
});

it('applies newer configurations, ignores older ones and rejects unreadable ones', async () => {
  const fixture = await SidecarCase.open();
  fixture.receivedMessages();
  [2n, 1n, 3n].forEach((version) => {
    const manifest = version === 3n ? 'not JSON' : '{}';
    const value = create(ConfigurationSchema, { version, manifest });
    fixture.entry('a').send({ case: 'configuration', value });
  });
  await fixture.advance(1);
  expect(fixture.receivedMessages()).toMatchInlineSnapshot(`
    "a: inForce 2
    b: inForce 2"
  `);
});
