import { afterEach, expect, it } from 'vitest';
import { request } from 'undici';
import type Announcement from '../src/sidecar/Announcement';
import AnnouncementServer from '../src/sidecar/AnnouncementServer';
import UndiciBackendClient from '../src/sidecar/UndiciBackendClient';
import BackendStandIn from '../tools/backend/BackendStandIn';
import type StandInCounts from '../tools/backend/StandInCounts';
import ManualTimer from './support/ManualTimer';

const cleanups: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanUp) => cleanUp()));
});

it('accepts an announcement and answers with the renewal interval', async () => {
  const { put, events } = await openAnnouncementServer();
  expect([await put(announcement('127.0.0.1:4000')), events]).toMatchInlineSnapshot(`
    [
      "200 {"renewMs":1000}",
      [
        {
          "address": "127.0.0.1:4000",
          "connections": 1,
          "service": "booking",
          "slots": 1,
        },
      ],
    ]
  `);
});

it('reports every error of an invalid announcement', async () => {
  const { put } = await openAnnouncementServer();
  const answers = [
    await put('{'),
    await put({ slots: 0, extra: 1 }),
    await put({ ...announcement('localhost:80'), slots: 2 }),
    await put('x'.repeat(70_000)),
  ];
  expect(answers).toMatchInlineSnapshot(`
    [
      "400 {"errors":["body: must be object"]}",
      "400 {"errors":["body: must have required property 'service'","body: must have required property 'address'","body: must have required property 'connections'","body: must NOT have additional properties","slots: must be >= 1"]}",
      "400 {"errors":["address: must be \\"ip:port\\"","connections: must be at least slots"]}",
      "400 {"errors":["the body exceeds 65536 bytes"]}",
    ]
  `);
});

it('withdraws on DELETE and rejects other paths and methods', async () => {
  const { send, events } = await openAnnouncementServer();
  const answers = [await send('DELETE', '/v1/backend'), await send('PUT', '/'), await send('GET')];
  expect([answers, events]).toMatchInlineSnapshot(`
    [
      [
        "200 {}",
        "404 {"errors":["there is only /v1/backend"]}",
        "405 {"errors":["use PUT to announce or renew, DELETE to leave"]}",
      ],
      [
        "withdraw",
      ],
    ]
  `);
});

it('refuses announcements while the sidecar shuts down', async () => {
  const { put } = await openAnnouncementServer({ isLeaving: true });
  expect(await put(announcement('127.0.0.1:4000'))).toMatchInlineSnapshot(
    `"503 {"errors":["the sidecar is leaving"]}"`,
  );
});

it('distinguishes completed tasks from failed ones', async () => {
  const run = await openBackend();
  expect([await run({ ms: 0, output: [1] }), await run({ ms: 0, fail: true })])
    .toMatchInlineSnapshot(`
    [
      {
        "ok": true,
        "output": "{"ms":0,"output":[1]}",
        "reason": "",
      },
      {
        "ok": false,
        "output": "{"ms":0,"error":"told to fail"}",
        "reason": "backend server answered 500",
      },
    ]
  `);
});

it('reports a connection closed without an answer as lost', async () => {
  const run = await openBackend({ closeMidway: true });
  expect(await run({ ms: 0 })).toMatchInlineSnapshot(`
    {
      "kind": "lost",
      "reason": "other side closed",
    }
  `);
});

it('ends a cancelled call only when the backend server has closed the connection', async () => {
  const run = await openBackend({ hang: true });
  const cancel = new AbortController();
  const ended = run({ ms: 0 }, cancel.signal);
  while ((await run.counts()).running === 0);
  cancel.abort();
  expect([await ended, await run.counts()]).toMatchObject([
    { kind: 'lost' },
    { running: 0, aborted: 1 },
  ]);
});

it('reports a refused connection as unsent', async () => {
  const server = BackendStandIn.create(ManualTimer.create(), 1);
  const address = await server.listen('127.0.0.1', 0);
  await server.close();
  const answer = await backendCaller(address)({ ms: 0 });
  expect(answer).toMatchObject({ kind: 'unsent' });
});

async function openAnnouncementServer({ isLeaving = false } = {}) {
  const events: unknown[] = [];
  const server = AnnouncementServer.create({
    onAnnounce: (backend) => {
      events.push(backend);
      return isLeaving ? undefined : 1000;
    },
    onWithdraw: () => events.push('withdraw'),
  });
  const address = await server.listen('127.0.0.1:0');
  cleanups.push(() => server.close());
  const send = async (method: 'PUT' | 'DELETE' | 'GET', path = '/v1/backend', body?: string) => {
    const res = await request(`http://${address}${path}`, { method, body });
    return [res.statusCode, await res.body.text()].join(' ');
  };
  const put = (value: unknown) =>
    send('PUT', '/v1/backend', typeof value === 'string' ? value : JSON.stringify(value));
  return { send, put, events };
}

async function openBackend(faults: object = {}) {
  const server = BackendStandIn.create(ManualTimer.create(), 1);
  const address = await server.listen('127.0.0.1', 0);
  cleanups.push(() => server.close());
  const body = JSON.stringify(faults);
  await request(`http://${address}/faults`, { method: 'PUT', body });
  return backendCaller(address);
}

function backendCaller(address: string) {
  const client = UndiciBackendClient.create();
  const run = async (input: object, signal = new AbortController().signal) => {
    const call = { task: 'j/0/0', timeoutMs: 1000, traceparent: '' };
    const bytes = Buffer.from(JSON.stringify(input));
    const res = await client.run(announcement(address), { ...call, input: bytes }, signal);
    if (res.isErr()) return res.error;
    return { ...res.value, output: Buffer.from(res.value.output).toString() };
  };
  const counts = async () => {
    const res = await request(`http://${address}/counts`);
    return (await res.body.json()) as StandInCounts;
  };
  return Object.assign(run, { counts });
}

function announcement(address: string): Announcement {
  return { service: 'booking', address, slots: 1, connections: 1 };
}
