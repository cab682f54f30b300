import { EventEmitter, once } from 'node:events';
import { expect, test } from 'vitest';
import { type Answer, Outcome } from '../../src/gen/magnoliakeel/v1/peer_pb';
import CallerCase from '../support/CallerCase';

const BODY = CallerCase.jobBody(1);
const HEAD = `PUT ${CallerCase.JOB_PATH} HTTP/1.1\r\nHost: a\r\nContent-Length: ${BODY.length}\r\n\r\n`;
const DONE = { outcome: Outcome.COMPLETED, size: 1, results: [{ output: Buffer.from('1') }] };

/** Makes the entry answer only when the test calls `finish`. */
function controlledEntry(callers: CallerCase) {
  const events = new EventEmitter();
  const reached = once(events, 'reached') as Promise<[AbortSignal]>;
  const finished = once(events, 'finished') as Promise<[Answer]>;
  callers.submit = async (_submission, callerGone) => {
    events.emit('reached', callerGone);
    const [answer] = await finished;
    return answer;
  };
  return { reached, finish: () => events.emit('finished', CallerCase.answer(DONE)) };
}

test('a caller that disconnects in the middle of its body submits nothing', async () => {
  const callers = await CallerCase.start();
  const socket = await callers.openSocket(HEAD + BODY.slice(0, 5));
  socket.destroy();
  await once(socket, 'close');
  await callers.send();
  expect([callers.submissions.length, callers.faults]).toEqual([1, []]);
});

test('the wait ends when its caller disconnects, and the job continues', async () => {
  const callers = await CallerCase.start();
  const { reached, finish } = controlledEntry(callers);
  const socket = await callers.openSocket(HEAD + BODY);
  const [callerGone] = await reached;
  socket.destroy();
  await once(callerGone, 'abort');
  finish();
  expect([callers.submissions.length, callers.faults]).toEqual([1, []]);
});

test('a pending answer is sent completely while the server closes', async () => {
  const callers = await CallerCase.start();
  const { reached, finish } = controlledEntry(callers);
  const sent = callers.send();
  await reached;
  const closed = callers.server.close(60_000);
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

test('a caller that still waits when the drain time is over gets a response', async () => {
  const callers = await CallerCase.start();
  const { reached } = controlledEntry(callers);
  const sent = callers.send();
  await reached;
  await callers.server.close(0);
  expect(await sent).toMatchInlineSnapshot(`
    "424 unknown
    content-length=200
    retry-after=3
    connection=close
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"unknown","size":0,"finished":0,"reason":"this entry leaves before the answer is there; it may have run","retryAfterMs":3000}"
  `);
});

test('a connection without a request does not delay the close', async () => {
  const callers = await CallerCase.start();
  const socket = await callers.openSocket('');
  const ended = once(socket, 'close');
  await Promise.all([callers.server.close(60_000), ended]);
  expect(socket.destroyed).toBe(true);
});

test('an entry that shuts down closes its connections after their responses', async () => {
  const callers = await CallerCase.start();
  callers.isLeaving = true;
  expect(await callers.send()).toMatchInlineSnapshot(`
    "202 pending
    content-length=107
    magnoliakeel-count=1
    connection=close
    {"id":"0192d0c8-0000-7000-8000-000000000000","service":"booking","outcome":"pending","size":1,"finished":0}"
  `);
});

test('without a configuration nothing is run', async () => {
  const callers = await CallerCase.start();
  callers.manifest = undefined;
  expect(await callers.send()).toMatchInlineSnapshot(`
    "424 unknown
    content-length=85
    retry-after=3
    {"outcome":"unknown","reason":"no configuration is in force yet","retryAfterMs":3000}"
  `);
});

test('an internal error of the entry gets a response, not a closed connection', async () => {
  const callers = await CallerCase.start();
  callers.submit = () => Promise.reject(new Error('a fault'));
  expect([await callers.send(), callers.faults]).toMatchInlineSnapshot(`
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

test('no refusal of pipelined input is sent in place of the response to the earlier request', async () => {
  const callers = await CallerCase.start();
  const { reached } = controlledEntry(callers);
  const socket = await callers.openSocket(HEAD + BODY);
  await reached;
  socket.write('no HTTP\r\n\r\n');
  expect(await CallerCase.readUntilClose(socket)).toBe('');
});

test('the connection of a caller that does not read its response is closed', async () => {
  const callers = await CallerCase.start();
  const output = Buffer.alloc(64 * 1024 * 1024, '1');
  callers.submit = async () => CallerCase.answer({ ...DONE, results: [{ output }] });
  const socket = await callers.openSocket('');
  socket.pause();
  const text =
    'POST /v1/services/booking/requests HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}';
  const disconnected = new Promise<void>((resolve) => {
    const { submit } = callers;
    callers.submit = (submission, signal) => {
      signal.addEventListener('abort', () => resolve());
      return submit(submission, signal);
    };
  });
  socket.write(text);
  await disconnected;
  socket.destroy();
  expect(callers.faults).toEqual([]);
});

test('a request on an idle connection is still answered while the server closes', async () => {
  const callers = await CallerCase.start();
  const socket = await callers.openSocket(HEAD + BODY);
  await once(socket, 'data');
  const closed = callers.server.close(60_000);
  socket.write(HEAD + BODY);
  const [answer] = (await once(socket, 'data')) as [Buffer];
  await closed;
  expect(/HTTP\/1.1 (\d+)[^]*\r\n(Connection: \w+)/.exec(String(answer))?.slice(1)).toEqual([
    '202',
    'Connection: close',
  ]);
});
