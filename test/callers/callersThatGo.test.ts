import { EventEmitter, once } from 'node:events';
import { expect, test } from 'vitest';
import { type Answer, Outcome } from '../../src/gen/magnoliakeel/v1/peer_pb';
import CallerCase from '../support/CallerCase';

const BODY = CallerCase.tasks(1);
const HEAD = `PUT ${CallerCase.JOB} HTTP/1.1\r\nHost: a\r\nContent-Length: ${BODY.length}\r\n\r\n`;
const DONE = { outcome: Outcome.COMPLETED, size: 1, results: [{ output: Buffer.from('1') }] };

/** An entry whose answer a test gives when it likes. */
function held(start: CallerCase) {
  const events = new EventEmitter();
  const reached = once(events, 'reached') as Promise<[AbortSignal]>;
  const finished = once(events, 'finished') as Promise<[Answer]>;
  start.submit = async (_submission, gone) => {
    events.emit('reached', gone);
    const [answer] = await finished;
    return answer;
  };
  return { reached, finish: () => events.emit('finished', CallerCase.answer(DONE)) };
}

test('a caller that goes in the middle of its body submits nothing', async () => {
  const start = await CallerCase.start();
  const socket = await start.open(HEAD + BODY.slice(0, 5));
  socket.destroy();
  await once(socket, 'close');
  await start.send();
  expect([start.submissions.length, start.faults]).toEqual([1, []]);
});

test('a caller that goes while it waits frees its wait, and the job goes on', async () => {
  const start = await CallerCase.start();
  const { reached, finish } = held(start);
  const socket = await start.open(HEAD + BODY);
  const [gone] = await reached;
  socket.destroy();
  await once(gone, 'abort');
  finish();
  expect([start.submissions.length, start.faults]).toEqual([1, []]);
});

test('an answer under way goes out whole while the server closes', async () => {
  const start = await CallerCase.start();
  const { reached, finish } = held(start);
  const sent = start.send();
  await reached;
  const closed = start.server.close(60_000);
  finish();
  expect(await sent).toMatchInlineSnapshot(`
    "200 completed
    content-length=141
    magnoliakeel-count=1
    connection=close
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"completed","size":1,"results":[{"index":0,"runMs":0,"output":1}]}"
  `);
  await closed;
});

test('a caller that waits longer than the server drains is told so', async () => {
  const start = await CallerCase.start();
  const { reached } = held(start);
  const sent = start.send();
  await reached;
  await start.server.close(0);
  expect(await sent).toMatchInlineSnapshot(`
    "424 unknown
    content-length=200
    retry-after=3
    connection=close
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"unknown","size":0,"finished":0,"reason":"this entry leaves before the answer is there; it may have run","retryAfterMs":3000}"
  `);
});

test('a connection without a request does not hold up the close', async () => {
  const start = await CallerCase.start();
  const socket = await start.open('');
  const ended = once(socket, 'close');
  await Promise.all([start.server.close(60_000), ended]);
  expect(socket.destroyed).toBe(true);
});

test('an entry that leaves closes its connections after their answers', async () => {
  const start = await CallerCase.start();
  start.isLeaving = true;
  expect(await start.send()).toMatchInlineSnapshot(`
    "202 pending
    content-length=107
    magnoliakeel-count=1
    connection=close
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"pending","size":1,"finished":0}"
  `);
});

test('without a configuration nothing is run', async () => {
  const start = await CallerCase.start();
  start.manifest = undefined;
  expect(await start.send()).toMatchInlineSnapshot(`
    "424 unknown
    content-length=85
    retry-after=3
    {"outcome":"unknown","reason":"no configuration is in force yet","retryAfterMs":3000}"
  `);
});

test('a fault of the entry is an answer, not a cut connection', async () => {
  const start = await CallerCase.start();
  start.submit = () => Promise.reject(new Error('a fault'));
  expect([await start.send(), start.faults]).toMatchInlineSnapshot(`
    [
      "424 unknown
    content-length=186
    retry-after=3
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"unknown","size":0,"finished":0,"reason":"an internal error of the entry; it may have run","retryAfterMs":3000}",
      [
        [Error: a fault],
      ],
    ]
  `);
});

test('what follows a request ahead of its answer cannot pass for the answer', async () => {
  const start = await CallerCase.start();
  const { reached } = held(start);
  const socket = await start.open(HEAD + BODY);
  await reached;
  socket.write('no HTTP\r\n\r\n');
  expect(await CallerCase.drain(socket)).toBe('');
});

test('a caller that does not read its answer loses the connection', async () => {
  const start = await CallerCase.start();
  const output = Buffer.alloc(64 * 1024 * 1024, '1');
  start.submit = async () => CallerCase.answer({ ...DONE, results: [{ output }] });
  const socket = await start.open('');
  socket.pause();
  const text =
    'POST /v1/services/booking/requests HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}';
  const gone = new Promise<void>((resolve) => {
    const { submit } = start;
    start.submit = (submission, signal) => {
      signal.addEventListener('abort', () => resolve());
      return submit(submission, signal);
    };
  });
  socket.write(text);
  await gone;
  socket.destroy();
  expect(start.faults).toEqual([]);
});

test('a request on an idle connection is still answered when the server closes meanwhile', async () => {
  const start = await CallerCase.start();
  const socket = await start.open(HEAD + BODY);
  await once(socket, 'data');
  const closed = start.server.close(60_000);
  socket.write(HEAD + BODY);
  const [answer] = (await once(socket, 'data')) as [Buffer];
  await closed;
  expect(/HTTP\/1.1 (\d+)[^]*\r\n(Connection: \w+)/.exec(String(answer))?.slice(1)).toEqual([
    '202',
    'Connection: close',
  ]);
});
