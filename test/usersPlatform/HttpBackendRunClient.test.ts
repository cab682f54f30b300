import { expect, test } from 'vitest';
import HttpBackendRunClient from '../../platform/HttpBackendRunClient';
import SystemTimer from '../../src/core/SystemTimer';
import Resources from '../../src/room/Resources';
import errorOf from '../support/errorOf';
import HttpStandIn from '../support/HttpStandIn';
import valueOf from '../support/valueOf';

/** For answers that are given at once: none of these tests is about time, and a busy machine takes some hundred ms. */
const PATIENCE_MS = 10_000;

const run = { batch: '5c0e7a21d94b36f8', step: 1, index: 17, attempt: 2 };

async function open(reply: Parameters<typeof HttpStandIn.open>[0]) {
  const runner = await HttpStandIn.open(reply);
  return { runner, calls: callsTo(runner.address) };
}

function callsTo(address: string): HttpBackendRunClient {
  return HttpBackendRunClient.create(SystemTimer.create(), {
    ...{ id: 'i-1', address, service: 's', labels: [], draining: false },
    ...{ capacity: Resources.none, clockMs: 0, sequence: 1 },
  });
}

test('a start names the task, its attempt, the lease and the life it is meant for', async () => {
  const { runner, calls } = await open(() => ({ status: 200, body: { clock_ms: 1 } }));
  const res = await calls.start(run, 'text', 486_000, 7, PATIENCE_MS);
  await runner.close();
  const [{ method, path, body, headers }] = runner.calls as [(typeof runner.calls)[number]];
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
])('a start refused for "%s" is %s', async (reason, expected) => {
  const { runner, calls } = await open(() => ({ status: 409, body: { clock_ms: 1, reason } }));
  const res = await calls.start(run, '', 1, 1, PATIENCE_MS);
  await runner.close();
  expect(valueOf(res)).toBe(expected);
});

// Any failure was taken for a refusal, which has the task started elsewhere at once.
test.each([
  [400, 'unfit'],
  [429, 'unfit'],
  [503, 'unfit'],
  [500, 'unanswered'],
  [502, 'unanswered'],
  [504, 'unanswered'],
])('a start answered with %i counts as %s', async (status, expected) => {
  const { runner, calls } = await open(() => ({ status, body: {} }));
  const res = await calls.start(run, '', 1, 1, PATIENCE_MS);
  await runner.close();
  expect(res.isOk() ? res.value : res.error.kind).toBe(expected);
});

test('a list of runs tells when the life that has them started', async () => {
  const body = { clock_ms: 1, born: 1_780_000_000_000, running: [], finished: [] };
  const { runner, calls } = await open(() => ({ status: 200, body }));
  const res = await calls.poll(0, 7, 0, PATIENCE_MS);
  await runner.close();
  expect(valueOf(res)).toEqual({ born: 1_780_000_000_000, running: [], ended: [] });
});

test('rows of a hold are read by their place', async () => {
  const name = '5c0e7a21d94b36f8.0.1.17';
  const body = {
    clock_ms: 1,
    running: [[name, 2, '', 41]],
    finished: [
      [58, name, 1, 'done', ''],
      [59, name, 2, 'lapsed', ''],
    ],
  };
  const { runner, calls } = await open(() => ({ status: 200, body }));
  const res = await calls.poll(57, 7, 0, PATIENCE_MS);
  await runner.close();
  expect([valueOf(res), runner.calls[0]?.body]).toMatchInlineSnapshot(`
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
  ['another life answers', { status: 421 } as const, 'replaced'],
  ['nobody answers', 'silence' as const, 'unanswered'],
  ['the connection breaks', 'reset' as const, 'unanswered'],
  ['it answers with a mistake', { status: 400, body: {} } as const, 'refused'],
])('when %s a stop has failed as such', async (_name, reply, kind) => {
  const { runner, calls } = await open(() => reply);
  const res = await calls.stop(run, 1, 100);
  await runner.close();
  expect(errorOf(res).kind).toBe(kind);
});

test('when nothing listens, nothing was carried out', async () => {
  const { runner, calls } = await open(() => 'silence');
  await runner.close();
  const res = await calls.stop(run, 1, 100);
  expect(errorOf(res).kind).toBe('closed');
});

// A heartbeat may name an address that no connection can be made to. The call rejected instead of having a
// result ("Port should be >= 0 and < 65536. Received type string ('99999')"): the life that sent it was
// never looked at again, and a task of this process that awaits such a call would have ended for good.
test('a call to an address that is none has a result like one to a closed port', async () => {
  const res = await callsTo('10.0.0.1:99999').poll(0, 1, 0, 100);
  expect(errorOf(res).kind).toBe('closed');
});
