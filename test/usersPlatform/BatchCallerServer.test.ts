import { request } from 'node:http';
import { connect, type Socket } from 'node:net';
import { expect, test } from 'vitest';
import BatchCallerServer from '../../platform/BatchCallerServer';
import type BatchEntry from '../../src/batches/BatchEntry';
import BatchCase from '../support/BatchCase';

const log = { info: () => undefined, warn: () => undefined };
const ID = '5c0e7a21d94b36f8';
const job = { best_effort: true, spec: '50', steps: [{ count: 2, cpu: 4_000, estimate_ms: 50 }] };

interface TestRequest {
  readonly method?: string;
  readonly path?: string;
  readonly host?: string;
  readonly body?: unknown;
  readonly waitMs?: number;
}

/** Sends requests to the caller server of a simulated entry with two sidecars; returns the responses. */
async function answersTo(
  requests: readonly TestRequest[],
  prepare?: (server: BatchCallerServer) => void,
) {
  const batchCase = await BatchCase.open({ entries: 1 });
  const server = BatchCallerServer.create(batchCase.entries[0]!, log);
  await server.listen('127.0.0.1:0');
  prepare?.(server);
  const answers = [];
  for (const testRequest of requests) {
    const answer = send(server.port, testRequest);
    let isAnswered = false;
    answer.then(() => {
      isAnswered = true;
    });
    while (!isAnswered) await batchCase.timer.advance(20);
    answers.push(await answer);
  }
  server.close();
  return answers;
}

function send(port: number, what: TestRequest) {
  const { method = 'POST', path = `/q/${ID}`, host = 'h', body, waitMs = 3_000 } = what;
  return new Promise<string>((resolve, reject) => {
    const headers = { host, 'content-type': 'application/json', 'x-deadline-ms': waitMs };
    const req = request({ port, method, path, headers, host: '127.0.0.1' }, (res) => {
      let text = '';
      res.on('data', (chunk: Buffer) => {
        text += chunk.toString();
      });
      const { connection, 'retry-after': retry } = res.headers;
      const headerText = [retry === undefined ? '' : ' with Retry-After', ` ${connection}`].join(
        '',
      );
      res.on('end', () => resolve(`${res.statusCode} ${text}${headerText}`));
    });
    req.on('error', reject);
    req.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

test('a job is answered when it has ended', async () => {
  expect(await answersTo([{ body: job }])).toMatchInlineSnapshot(`
    [
      "200 {"state":"completed"} keep-alive",
    ]
  `);
});

test('requests that cannot be served are refused with a reason', async () => {
  const requests: TestRequest[] = [
    { host: 'other', body: job },
    { body: { ...job, best_effort: false } },
    { body: 'no job' },
    { path: '/q/short', body: job },
    { method: 'PATCH' },
    { body: { ...job, spec: 'x'.repeat(300_000) } },
  ];
  expect(await answersTo(requests)).toMatchInlineSnapshot(`
    [
      "404 {"error":"no such queue"} keep-alive",
      "503 {"error":"not supported: jobs that are kept: only best-effort jobs are run so far","retry_after_ms":1000} with Retry-After keep-alive",
      "400 {"error":"the body is no JSON object"} keep-alive",
      "400 {"error":"the id is not 16 hexadecimal digits"} keep-alive",
      "405 {"error":"use POST, GET or DELETE"} keep-alive",
      "413 {"error":"the body is too long"} keep-alive",
    ]
  `);
});

test('requests for an unknown job get 410, and a queue reports its number of pending jobs', async () => {
  const requests: TestRequest[] = [
    { method: 'GET' },
    { method: 'DELETE' },
    { method: 'GET', path: '/q/' },
  ];
  expect(await answersTo(requests)).toMatchInlineSnapshot(`
    [
      "410 {"error":"no such job"} keep-alive",
      "410 {} keep-alive",
      "200 {"pending":0} keep-alive",
    ]
  `);
});

test('a cancelled job is answered as cancelled, so that the caller does not resubmit it', async () => {
  const batchCase = await BatchCase.open({ entries: 1 });
  const server = BatchCallerServer.create(batchCase.entries[0]!, log);
  await server.listen('127.0.0.1:0');
  const answer = send(server.port, { body: { ...job, spec: '5000' } });
  while (batchCase.running.length === 0) await batchCase.timer.advance(20);
  const cancelling = await send(server.port, { method: 'DELETE' });
  const answered = await answer;
  server.close();
  expect([cancelling, answered]).toEqual([
    '200 {} keep-alive',
    '200 {"state":"cancelled"} keep-alive',
  ]);
});

// An answer that says "cancelled" has to outlast the processes that know of it.
test('a request to cancel a job that could not be stored is refused with a retry delay', async () => {
  const batchCase = await BatchCase.open({ entries: 1, hasStore: true });
  batchCase.store.setFaults({ down: true });
  const server = BatchCallerServer.create(batchCase.entries[0]!, log);
  await server.listen('127.0.0.1:0');
  const refused = send(server.port, { method: 'DELETE' });
  while (batchCase.store.calls().e0!.grantLease === undefined) await batchCase.timer.advance(20);
  await batchCase.timer.advance(3_000);
  const answer = await refused;
  server.close();
  expect(answer).toMatchInlineSnapshot(
    `"503 {"error":"the cancelling could not be stored; ask again","retry_after_ms":1000} with Retry-After keep-alive"`,
  );
});

test('an entry that shuts down closes connections with their responses', async () => {
  const answers = await answersTo([{ body: job }], (server) => server.startDraining());
  expect(answers).toEqual(['200 {"state":"completed"} close']);
});

/** The response to a job if the entry gets its first configuration this long after the job arrives. */
async function answerBeforeConfiguration(afterMs: number, startedMsAgo = 0): Promise<string> {
  const batchCase = await BatchCase.open({ entries: 1, configured: false });
  await batchCase.timer.advance(startedMsAgo);
  const server = BatchCallerServer.create(batchCase.entries[0]!, log);
  await server.listen('127.0.0.1:0');
  let answer: string | undefined;
  send(server.port, { body: job }).then((text) => {
    answer = text;
  });
  for (let waitedMs = 0; answer === undefined; waitedMs += 20) {
    if (waitedMs === afterMs) batchCase.configure();
    await batchCase.timer.advance(20);
    await new Promise(setImmediate);
  }
  server.close();
  return answer;
}

test('a job that arrives just before the first configuration waits for it', async () => {
  expect(await answerBeforeConfiguration(800)).toBe('200 {"state":"completed"} keep-alive');
});

test('a job waits at most half of its time for the first configuration', async () => {
  expect(await answerBeforeConfiguration(1_800)).toMatch(/^503 .*there is no configuration yet/);
});

test('an entry that has been without a configuration for long refuses at once', async () => {
  expect(await answerBeforeConfiguration(20, 3_000)).toMatch(/^503 /);
});

// A job of 10^12 tasks threw an error when its task list was created. The caller's connection was closed without
// a response ("socket hang up"), which a caller can't tell from a crash of the entry, and a batch that had been
// accepted by then kept running until its time was over. Only a log line showed the error.
test('an internal error while a job is served gets a response, and the runs of the job are stopped', async () => {
  const batchCase = await BatchCase.open({ entries: 1 });
  const [real] = batchCase.entries as [BatchEntry];
  const submit: BatchEntry['submit'] = async (submission, gone) => {
    real.submit(submission, gone);
    while (batchCase.running.length === 0) await batchCase.timer.advance(20);
    throw new Error('a fault');
  };
  const server = BatchCallerServer.create(Object.create(real, { submit: { value: submit } }), log);
  await server.listen('127.0.0.1:0');
  const answer = await send(server.port, { body: { ...job, spec: '5000' } });
  await batchCase.timer.advance(500);
  server.close();
  expect([answer, batchCase.running]).toEqual([
    '504 {"error":"a fault of this entry; the job may have run"} keep-alive',
    [],
  ]);
});

/** The fields logged when a connection ends during its second request, and what then still runs. */
async function logOfDisconnect(end: (caller: Socket, server: BatchCallerServer) => void) {
  const logged: unknown[] = [];
  const batchCase = await BatchCase.open({ entries: 1 });
  const recordingLog = {
    ...log,
    info: (message: string, { afterMs, ...fields }: Readonly<Record<string, unknown>>) =>
      message.startsWith('a caller is gone') &&
      logged.push({ ...fields, isTimed: Number(afterMs) > 0 }),
  };
  const server = BatchCallerServer.create(batchCase.entries[0]!, recordingLog);
  await server.listen('127.0.0.1:0');
  const body = JSON.stringify({ ...job, spec: '5000' });
  const head = `POST /q/${ID} HTTP/1.1\r\nhost: h\r\ncontent-length: ${body.length}\r\n\r\n`;
  const caller = connect(server.port, '127.0.0.1');
  caller.on('error', () => undefined);
  caller.write('GET /q/ HTTP/1.1\r\nhost: h\r\n\r\n');
  await new Promise((resolve) => {
    caller.once('data', resolve);
  });
  caller.write(head + body);
  while (batchCase.running.length === 0) await batchCase.timer.advance(20);
  end(caller, server);
  while (logged.length === 0) await new Promise(setImmediate);
  await batchCase.timer.advance(200);
  server.close();
  return [...logged, { running: batchCase.running }];
}

test('the log says how a connection ended before its response', async () => {
  expect({
    closed: await logOfDisconnect((caller) => caller.end()),
    broken: await logOfDisconnect((caller) => caller.resetAndDestroy()),
    ended: await logOfDisconnect((_caller, server) =>
      Reflect.get(server, 'server').closeAllConnections(),
    ),
  }).toMatchInlineSnapshot(`
    {
      "broken": [
        {
          "code": "ECONNRESET",
          "how": "broken",
          "isTimed": true,
          "request": "5c0e7a21d94b36f8",
          "requestsOfConnection": 2,
        },
        {
          "running": [],
        },
      ],
      "closed": [
        {
          "how": "closed",
          "isTimed": true,
          "request": "5c0e7a21d94b36f8",
          "requestsOfConnection": 2,
        },
        {
          "running": [],
        },
      ],
      "ended": [
        {
          "how": "ended",
          "isTimed": true,
          "request": "5c0e7a21d94b36f8",
          "requestsOfConnection": 2,
        },
        {
          "running": [],
        },
      ],
    }
  `);
});

// Node's timers fire at once for more than 2^31 - 1 ms: a job whose caller stated a wait of 10^11 ms was answered
// within a few ms ("its time is over with 1 tasks not done").
test('a wait of years is limited to a day', async () => {
  const batchCase = await BatchCase.open({ entries: 1 });
  let waitMs = 0;
  const submit: BatchEntry['submit'] = async (submission) => {
    waitMs = submission.waitMs;
    return { kind: 'completed' };
  };
  const entry = Object.create(batchCase.entries[0]!, { submit: { value: submit } });
  const server = BatchCallerServer.create(entry, log);
  await server.listen('127.0.0.1:0');
  await send(server.port, { body: job, waitMs: 1e11 });
  server.close();
  expect(Math.round(waitMs / 60_000)).toBe(24 * 60);
});
