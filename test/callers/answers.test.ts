import { expect, test } from 'vitest';
import outcomeTable from '../../src/callers/outcomeTable';
import { Outcome } from '../../src/gen/magnoliakeel/v1/peer_pb';
import CallerCase from '../support/CallerCase';

const REQUESTS = '/v1/services/booking/requests';
const bufferOf = (text: string) => Buffer.from(text);

test('each outcome has its status, name, headers and body', async () => {
  const callers = await CallerCase.start();
  const outcomes = Object.keys(outcomeTable).map(Number) as Outcome[];
  const results = [{ index: 0, output: bufferOf('{"free":true}'), runMs: 40 }];
  const sent: string[] = [];
  for (const outcome of outcomes) {
    const init = { outcome, size: 1, finished: 1, reason: 'why' };
    const isDone = outcome === Outcome.COMPLETED;
    callers.submit = async () => CallerCase.answer(isDone ? { ...init, results } : init);
    sent.push(`${Outcome[outcome]}: ${await callers.send()}`);
  }
  expect(sent.join('\n\n')).toMatchInlineSnapshot(`
    "UNSPECIFIED: 424 unknown
    content-length=122
    magnoliakeel-count=1
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"unknown","size":1,"finished":1,"reason":"why"}

    COMPLETED: 200 completed
    content-length=154
    magnoliakeel-count=1
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"completed","size":1,"results":[{"index":0,"runMs":40,"output":{"free":true}}]}

    FAILED: 422 failed
    content-length=121
    magnoliakeel-count=1
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"failed","size":1,"finished":1,"reason":"why"}

    NOT_RUN: 503 not-run
    content-length=122
    magnoliakeel-count=1
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"not-run","size":1,"finished":1,"reason":"why"}

    UNKNOWN: 424 unknown
    content-length=122
    magnoliakeel-count=1
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"unknown","size":1,"finished":1,"reason":"why"}

    PENDING: 202 pending
    content-length=122
    magnoliakeel-count=1
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"pending","size":1,"finished":1,"reason":"why"}

    CONFLICT: 409 conflict
    content-length=123
    magnoliakeel-count=1
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"conflict","size":1,"finished":1,"reason":"why"}

    ABSENT: 404 absent
    content-length=121
    magnoliakeel-count=1
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"absent","size":1,"finished":1,"reason":"why"}

    EXPIRED: 410 expired
    content-length=122
    magnoliakeel-count=1
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"expired","size":1,"finished":1,"reason":"why"}

    CANCELLED: 410 cancelled
    content-length=124
    magnoliakeel-count=1
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"cancelled","size":1,"finished":1,"reason":"why"}

    INVALID: 400 invalid
    content-length=122
    magnoliakeel-count=1
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"invalid","size":1,"finished":1,"reason":"why"}"
  `);
});

test('a retry delay is sent with jitter, in whole seconds and in milliseconds', async () => {
  const callers = await CallerCase.start();
  const init = { outcome: Outcome.NOT_RUN, reason: 'the queue is full', retryAfterMs: 4000 };
  callers.submit = async () => CallerCase.answer(init);
  const sent = await Promise.all([callers.send(), callers.send(), callers.send()]);
  const delays = sent.map((text) => text.match(/retry-after=\d+|"retryAfterMs":\d+/g)!.join(' '));
  expect(delays).toMatchInlineSnapshot(`
    [
      "retry-after=6 "retryAfterMs":6000",
      "retry-after=6 "retryAfterMs":5251",
      "retry-after=5 "retryAfterMs":4579",
    ]
  `);
});

test('results are sent in task order, and output that is not JSON as a string', async () => {
  const callers = await CallerCase.start();
  const results = [2, 0, 1].map((index) => ({
    index,
    runMs: index,
    output: bufferOf(`r${index}`),
  }));
  results[1]!.output = bufferOf('{ "n": 0 }');
  callers.submit = async () =>
    CallerCase.answer({ outcome: Outcome.COMPLETED, size: 3, finished: 3, results });
  expect(await callers.send()).toMatchInlineSnapshot(`
    "200 completed
    content-length=222
    magnoliakeel-count=3
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"completed","size":3,"results":[{"index":0,"runMs":0,"output":{ "n": 0 }},{"index":1,"runMs":1,"output":"r1"},{"index":2,"runMs":2,"output":"r2"}]}"
  `);
});

test.each([
  ['lacks a result', [0, 2]],
  ['has a result twice', [0, 1, 1]],
  ['has one result too many', [0, 1, 2, 3]],
])('a completed answer that %s is not sent as completed', async (_what, indexes) => {
  const callers = await CallerCase.start();
  const results = indexes.map((index) => ({ index, output: bufferOf('1') }));
  callers.submit = async () => CallerCase.answer({ outcome: Outcome.COMPLETED, size: 3, results });
  expect((await callers.send()).split('\n')[0]).toBe('424 unknown');
});

test('the response to a single request is its unchanged output', async () => {
  const callers = await CallerCase.start();
  const results = [{ index: 0, output: bufferOf('{ "swap": 7 }') }];
  callers.submit = async () => CallerCase.answer({ outcome: Outcome.COMPLETED, size: 1, results });
  expect(await callers.send(REQUESTS, { method: 'POST', body: '{}' })).toMatchInlineSnapshot(`
    "200 completed
    content-length=13
    magnoliakeel-count=1
    { "swap": 7 }"
  `);
});

test('a request reaches the entry with its id, idempotent flag, team and times', async () => {
  const callers = await CallerCase.start();
  const headers = {
    'idempotency-key': 'swap-7',
    'magnoliakeel-created': '1764670000000',
    'magnoliakeel-idempotent': 'true',
    'magnoliakeel-team': 'web',
    'magnoliakeel-deadline-ms': '1500',
    traceparent: '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01',
  };
  await callers.send(REQUESTS, { method: 'POST', body: '{"swap":7}', headers });
  const { $typeName, inputs, ...fields } = callers.submissions[0]!;
  expect([inputs.map(String), fields]).toMatchInlineSnapshot(`
    [
      [
        "{"swap":7}",
      ],
      {
        "action": 1,
        "createdMs": 1764670000000n,
        "deadlineMs": 1500,
        "digest": "3ucfWjrGWaPO1NNwaZ8ZqoqRFuSt0hFxyWAkoWonjXs",
        "id": "swap-7",
        "idempotent": true,
        "kind": "request",
        "service": "booking",
        "team": "web",
        "traceparent": "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "waitMs": 1500,
      },
    ]
  `);
});

test('a wait is limited to the job timeout of the service', async () => {
  const callers = await CallerCase.start();
  await callers.send(`${CallerCase.JOB_PATH}?wait=86400000`);
  await callers.send(`${CallerCase.JOB_PATH}?wait=70`, { method: 'GET' });
  expect(callers.submissions.map(({ waitMs }) => waitMs)).toEqual([60_000, 70]);
});

test('different bodies have different digests, equal bodies the same one', async () => {
  const callers = await CallerCase.start();
  for (const body of [CallerCase.jobBody(1, 2), CallerCase.jobBody(12), CallerCase.jobBody(1, 2)]) {
    await callers.send(undefined, { body });
  }
  const [first, different, same] = callers.submissions.map(({ digest }) => digest);
  expect([first === different, first === same]).toEqual([false, true]);
});

test('a caller is not served under an older configuration than before', async () => {
  const callers = await CallerCase.start();
  const requests = ['3', '4', 'x'].map((version) =>
    callers.send(undefined, { headers: { 'magnoliakeel-configuration': version } }),
  );
  expect(await Promise.all(requests)).toMatchInlineSnapshot(`
    [
      "202 pending
    content-length=107
    magnoliakeel-count=1
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"pending","size":1,"finished":0}",
      "424 unknown
    content-length=126
    retry-after=3
    {"outcome":"unknown","reason":"the configuration that the caller has met before is not in force here yet","retryAfterMs":2626}",
      "400 invalid
    content-length=121
    {"outcome":"invalid","reason":"header Magnoliakeel-Configuration: found \\"x\\", expected the number that a response gave"}",
    ]
  `);
});
