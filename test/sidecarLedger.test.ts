import { create } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import {
  AdoptSchema,
  ConfigurationSchema,
  ReconcileSchema,
} from '../src/gen/magnoliakeel/v1/peer_pb';
import FakeEntry from './support/FakeEntry';
import SidecarCase from './support/SidecarCase';

/** Neither heartbeats nor renewals are due while time passes. */
const quiet = {
  heartbeat: { intervalMs: 1e7, suspectMs: 1e7, closeMs: 1e7 },
  renewMs: 1e7,
};

it('records a start before it calls the backend server', async () => {
  const run = await SidecarCase.open();
  const bytes: number[] = [run.sidecar.ledgerBytes];
  run.backend.onRun = () => bytes.push(run.sidecar.ledgerBytes);
  run.entry('a').sendStart('j/0');
  await run.advance(1);
  expect(bytes).toMatchInlineSnapshot(`
    [
      0,
      950,
    ]
  `);
});

it('refuses a second start of an attempt, while it runs and after', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  run.entry('a').sendStart('j/0');
  run.entry('a').sendStart('j/0');
  await run.advance(100);
  run.entry('b').sendStart('j/0');
  await run.advance(100);
  expect({ heard: run.receivedMessages(), starts: [...run.backend.starts] }).toMatchInlineSnapshot(`
    {
      "heard": "a: refuse j/0 DUPLICATE
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

it('calls a second start a duplicate also with a stale credit', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  const credit = run.entry('a').credits[0]!;
  run.entry('a').sendStart('j/0', { credit });
  run.entry('a').sendStart('j/0', { credit });
  await run.advance(1);
  expect(run.receivedMessages('a')).toMatchInlineSnapshot(`"a: refuse j/0 DUPLICATE"`);
});

it('refuses starts of owners outside the newest view', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  run.entry('b').sendView(SidecarCase.view(2, 'b'));
  run.entry('a').sendStart('j/0');
  run.entry('b').sendStart('k/0', { owner: 'a' });
  await run.advance(1);
  expect({ heard: run.receivedMessages(), starts: run.backend.starts.size }).toMatchInlineSnapshot(`
    {
      "heard": "a: fenced view 2:
    b: fenced view 2:
    b: refuse k/0 FENCED
    b: grant 1.2
    b: grant 0.2 2.2",
      "starts": 0,
    }
  `);
});

it('names the jobs of a removed owner, moves them and reports to the new owner', async () => {
  const run = await SidecarCase.open();
  run.entry('a').sendStart('j/0', { ms: 10, output: 'early' });
  run.entry('a').sendStart('j/1', { ms: 500, output: 'late' });
  await run.advance(100);
  run.receivedMessages();
  run.entry('b').sendView(SidecarCase.view(2, 'b'));
  await run.advance(1);
  const adopt = create(AdoptSchema, { jobs: ['j', 'unknown'], owner: 'b', viewNumber: 2n });
  run.entry('b').send({ case: 'adopt', value: adopt });
  await run.advance(500);
  expect(run.receivedMessages('b')).toMatchInlineSnapshot(`
    "b: fenced view 2: j
    b: grant 0.3
    b: adopted j/0 COMPLETED "early", j/1 running
    b: grant 2.2
    b: done j/1 COMPLETED "late" 500 ms, credit none"
  `);
});

it('ignores an adoption by an entry outside the view', async () => {
  const run = await SidecarCase.open();
  run.entry('a').sendStart('j/0');
  await run.advance(1);
  run.receivedMessages();
  const adopt = create(AdoptSchema, { jobs: ['j'], owner: 'x' });
  run.entry('b').send({ case: 'adopt', value: adopt });
  await run.advance(100);
  expect(run.receivedMessages()).toMatchInlineSnapshot(
    `"a: done j/0 COMPLETED null 100 ms, credit 0.2"`,
  );
});

it('does not go back to an older view', async () => {
  const run = await SidecarCase.open();
  run.entry('a').sendView(SidecarCase.view(3, 'ab'));
  await run.advance(1);
  run.entry('b').sendView(SidecarCase.view(2, 'b'));
  await run.advance(1);
  expect([run.sidecar.viewNumber, run.sidecar.linkCount]).toMatchInlineSnapshot(`
    [
      3n,
      2,
    ]
  `);
});

it('says after a new link what it never started, and repeats results', async () => {
  const run = await SidecarCase.open();
  run.entry('a').sendStart('j/0', { ms: 10 });
  run.entry('a').sendStart('j/1', { ms: 900 });
  await run.advance(5);
  run.network.partition('a', 's');
  await run.advance(100);
  run.network.heal('a', 's');
  await run.advance(500);
  run.receivedMessages();
  const tasks = ['j/0', 'j/1', 'j/2'].map(FakeEntry.taskId);
  run.entry('a').send({ case: 'reconcile', value: create(ReconcileSchema, { tasks }) });
  await run.advance(400);
  expect(run.receivedMessages('a')).toMatchInlineSnapshot(`
    "a: reconciled not held: j/2
    a: done j/0 COMPLETED null 10 ms, credit none
    a: done j/1 COMPLETED null 900 ms, credit 2.2"
  `);
});

it('refuses starts while the ledger is full, and grants again when records expire', async () => {
  const run = await SidecarCase.open({ ...quiet, ledgerBytes: 1500 });
  run.receivedMessages();
  run.entry('a').sendStart('j/0', { ms: 10 });
  run.entry('a').sendStart('k/0', { ms: 10 });
  await run.advance(20);
  const full = run.receivedMessages();
  await run.advance(620_000);
  expect({ full, later: run.receivedMessages() }).toMatchInlineSnapshot(`
    {
      "full": "a: refuse k/0 LEDGER_FULL
    a: done j/0 COMPLETED null 10 ms, credit none",
      "later": "a: grant 0.2 2.2",
    }
  `);
});

it('keeps a record until creation, retention and skew have passed', async () => {
  const run = await SidecarCase.open(quiet);
  const manifest = JSON.stringify({ services: [{ name: 'booking', retentionMs: 60_000 }] });
  const value = create(ConfigurationSchema, { version: 1n, manifest });
  run.entry('a').send({ case: 'configuration', value });
  run.entry('a').sendStart('j/0', { ms: 10 });
  await run.advance(60_500);
  const kept = run.sidecar.ledgerBytes;
  await run.advance(10_000);
  expect({ kept, after: run.sidecar.ledgerBytes }).toMatchInlineSnapshot(`
    {
      "after": 0,
      "kept": 954,
    }
  `);
});

it('puts a newer configuration in force and never an older one', async () => {
  const run = await SidecarCase.open();
  run.receivedMessages();
  [2n, 1n, 3n].forEach((version) => {
    const manifest = version === 3n ? 'not JSON' : '{}';
    const value = create(ConfigurationSchema, { version, manifest });
    run.entry('a').send({ case: 'configuration', value });
  });
  await run.advance(1);
  expect(run.receivedMessages()).toMatchInlineSnapshot(`
    "a: inForce 2
    b: inForce 2"
  `);
});
