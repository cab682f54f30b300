import { expect, test } from 'vitest';
import HttpBackendRunClient from '../../platform/HttpBackendRunClient';
import SystemTimer from '../../src/core/SystemTimer';
import Resources from '../../src/room/Resources';
import runLimits from '../../src/runs/runLimits';
import TcpProxy from '../../tools/harness/TcpProxy';
import errorOf from '../support/errorOf';
import FakeHttpServer from '../support/FakeHttpServer';
import valueOf from '../support/valueOf';

/** For responses that are sent at once: these tests are not about time, and a busy machine takes some hundred ms. */
const TIMEOUT_MS = 10_000;

const run = { batch: '5c0e7a21d94b36f8', step: 1, index: 17, attempt: 2 };

async function open(reply: Parameters<typeof FakeHttpServer.open>[0]) {
  const backend = await FakeHttpServer.open(reply);
  return { backend, client: clientOf(backend.address) };
}

function clientOf(address: string): HttpBackendRunClient {
  return HttpBackendRunClient.create(SystemTimer.create(), {
    ...{ id: 'i-1', address, service: 's', labels: [], draining: false },
    ...{ capacity: Resources.none, clockMs: 0, sequence: 1 },
  });
}

test('a start has the task, its attempt, the lease and the intended backend server', async () => {
  const { backend, client } = await open(() => ({ status: 200, body: { clock_ms: 1 } }));
  const res = await client.start(run, 'text', 486_000, 7, TIMEOUT_MS);
  await backend.close();
  const [{ method, path, body, headers }] = backend.calls as [(typeof backend.calls)[number]];
  expect([valueOf(res), method, path, headers['x-expected-instance'], body]).toMatchInlineSnapshot(`
    [
      "started",
      "POST",
      "/magnoliakeel/run-start",
      "i-1",
      {
        "attempt": 2,
        "deadline_ms": 486000,
        "fencing_token": 7,
        "spec": "text",
        "task": "5c0e7a21d94b36f8.0.1.17",
      },
    ]
  `);
});

test.each([
  ['fence', 'fenced'],
  ['old', 'spent'],
  ['late', 'late'],
  ['room', 'full'],
  ['new word', 'unfit'],
])('a start refused with "%s" is %s', async (reason, expected) => {
  const { backend, client } = await open(() => ({ status: 409, body: { clock_ms: 1, reason } }));
  const res = await client.start(run, '', 1, 1, TIMEOUT_MS);
  await backend.close();
  expect(valueOf(res)).toBe(expected);
});

// Every failure was treated as a refusal, after which the task is started elsewhere at once.
test.each([
  [400, 'unfit'],
  [429, 'unfit'],
  [503, 'unfit'],
  [500, 'unanswered'],
  [502, 'unanswered'],
  [504, 'unanswered'],
])('a start with response status %i counts as %s', async (status, expected) => {
  const { backend, client } = await open(() => ({ status, body: {} }));
  const res = await client.start(run, '', 1, 1, TIMEOUT_MS);
  await backend.close();
  expect(res.isOk() ? res.value : res.error.kind).toBe(expected);
});

test('a poll returns the start time of the incarnation', async () => {
  const body = { clock_ms: 1, born: 1_780_000_000_000, running: [], finished: [] };
  const { backend, client } = await open(() => ({ status: 200, body }));
  const res = await client.poll(0, 7, 0, TIMEOUT_MS);
  await backend.close();
  expect(valueOf(res)).toEqual({ born: 1_780_000_000_000, running: [], ended: [] });
});

test('the rows in the response to a poll are read by column', async () => {
  const name = '5c0e7a21d94b36f8.0.1.17';
  const body = {
    clock_ms: 1,
    running: [[name, 2, '', 41]],
    finished: [
      [58, name, 1, 'done', ''],
      [59, name, 2, 'lapsed', ''],
    ],
  };
  const { backend, client } = await open(() => ({ status: 200, body }));
  const res = await client.poll(57, 7, 0, TIMEOUT_MS);
  await backend.close();
  expect([valueOf(res), backend.calls[0]?.body]).toMatchInlineSnapshot(`
    [
      {
        "ended": [
          {
            "how": "done",
            "number": 58,
            "reason": "done",
            "run": {
              "attempt": 1,
              "batch": "5c0e7a21d94b36f8",
              "index": 17,
              "step": 1,
            },
          },
          {
            "how": "lost",
            "number": 59,
            "reason": "lapsed",
            "run": {
              "attempt": 2,
              "batch": "5c0e7a21d94b36f8",
              "index": 17,
              "step": 1,
            },
          },
        ],
        "running": [
          {
            "percent": 41,
            "run": {
              "attempt": 2,
              "batch": "5c0e7a21d94b36f8",
              "index": 17,
              "step": 1,
            },
          },
        ],
      },
      {
        "fencing_token": 7,
        "last_seen": 57,
        "wait_ms": 0,
      },
    ]
  `);
});

test.each([
  ['another instance answers', { status: 421 } as const, 'replaced'],
  ['there is no response', 'silence' as const, 'unanswered'],
  ['the connection is reset', 'reset' as const, 'unanswered'],
  ['it answers with a client error', { status: 400, body: {} } as const, 'refused'],
])('when %s, a stop fails accordingly', async (_name, reply, kind) => {
  const { backend, client } = await open(() => reply);
  const res = await client.stop(run, 1, 100);
  await backend.close();
  expect(errorOf(res).kind).toBe(kind);
});

test('a call to a closed port fails as not carried out', async () => {
  const { backend, client } = await open(() => 'silence');
  await backend.close();
  const res = await client.stop(run, 1, 100);
  expect(errorOf(res).kind).toBe('closed');
});

// A heartbeat may have an address that can't be connected to. The call rejected instead of returning an error
// ("Port should be >= 0 and < 65536. Received type string ('99999')"): the incarnation that sent the heartbeat
// was never polled again, and any loop of this process that awaits such a call would have ended for good.
test('a call to an invalid address returns the same error as one to a closed port', async () => {
  const res = await clientOf('10.0.0.1:99999').poll(0, 1, 0, 100);
  expect(errorOf(res).kind).toBe('closed');
});

// When all open connections went silent, each call waited in vain on the next idle one, until the lease had passed and
// everything that ran was lost.
test('polls are answered again within the lease though many open connections are silent', async () => {
  const { backend } = await open(() => ({
    status: 200,
    body: { clock_ms: 1, running: [], finished: [] },
  }));
  const proxy = await TcpProxy.to(backend.address);
  const client = clientOf(proxy.address);
  await Promise.all(Array.from({ length: 20 }, () => client.start(run, '', 1, 1, TIMEOUT_MS)));
  proxy.freeze();
  const silentAt = performance.now();
  while ((await client.poll(0, 1, 0, 100)).isErr());
  const tookMs = performance.now() - silentAt;
  proxy.close();
  await backend.close();
  expect(tookMs).toBeLessThan(runLimits.leaseMs);
});

// Closing all idle connections after each lost answer cost a new connection for nearly every call.
test('a single poll without an answer closes no other connection', async () => {
  let polls = 0;
  const { backend } = await open(({ path }) => {
    if (path.endsWith('hold')) polls += 1;
    return polls === 1
      ? 'silence'
      : { status: 200, body: { clock_ms: 1, running: [], finished: [] } };
  });
  const proxy = await TcpProxy.to(backend.address);
  const client = clientOf(proxy.address);
  await Promise.all(Array.from({ length: 4 }, () => client.start(run, '', 1, 1, TIMEOUT_MS)));
  await client.poll(0, 1, 0, 50);
  await Promise.all(Array.from({ length: 3 }, () => client.poll(0, 1, 0, TIMEOUT_MS)));
  const { connectionCount } = proxy;
  proxy.close();
  await backend.close();
  expect(connectionCount).toBe(4);
});
