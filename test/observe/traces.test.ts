import { afterEach, expect, test } from 'vitest';
import TraceCase from '../support/TraceCase';

const TRACE = '4bf92f3577b34da6a3ce929d0e0e4736';
const CALLER = `00-${TRACE}-00f067aa0ba902b7`;

let opened: TraceCase | undefined;

async function start(sample?: number): Promise<TraceCase> {
  opened = await TraceCase.start(sample);
  return opened;
}

afterEach(() => opened?.close());

test('the spans of a job form one tree across processes', async () => {
  const traceCase = await start();
  await traceCase.submit(2, `${CALLER}-01`);
  expect(traceCase.tree()).toMatchInlineSnapshot(`
    "trace 4bf92f3577b34da6a3ce929d0e0e4736: 8 spans of 3 processes, 100.0 ms
    request @e1  at 0.0 ms for 100.0 ms  service=booking kind=job id=job-0 team=a tasks=2 action=submit outcome=completed
    └─ forward @e1  at 0.0 ms for 100.0 ms  owner.instance=e2 owner.zone=z1 reply=answer
       ├─ queue @e2  at 0.0 ms for 0.0 ms  service=booking team=a task=0 attempt=0 policy=credits chosen.sidecar=s1 chosen.zone=z1 chosen.slot=1 chosen.generation=1 chosen.because="most idle credits of the sidecars not suspected" credits.left=0 queue.left=0
       │  └─ start @s1  at 0.0 ms for 100.0 ms  service=booking entry=e2 task=0 attempt=0 slot=1 generation=1 status=completed
       │     └─ call @s1  at 0.0 ms for 100.0 ms  backend.address=127.0.0.1:1
       └─ queue @e2  at 0.0 ms for 0.0 ms  service=booking team=a task=1 attempt=0 policy=credits chosen.sidecar=s1 chosen.zone=z1 chosen.slot=0 chosen.generation=1 chosen.because="most idle credits of the sidecars not suspected" credits.left=0 queue.left=0
          └─ start @s1  at 0.0 ms for 100.0 ms  service=booking entry=e2 task=1 attempt=0 slot=0 generation=1 status=completed
             └─ call @s1  at 0.0 ms for 100.0 ms  backend.address=127.0.0.1:1"
  `);
});

test('the span of a queued task shows why and how long it waited', async () => {
  const traceCase = await start();
  await traceCase.submit(3, `${CALLER}-01`);
  expect(traceCase.tree().split('\n').at(-3)).toMatchInlineSnapshot(
    `"   └─ queue @e2  at 0.0 ms for 100.0 ms  service=booking team=a task=2 attempt=0 policy=credits chosen.sidecar=s1 chosen.zone=z1 chosen.slot=1 chosen.generation=2 chosen.because="most idle credits of the sidecars not suspected" credits.left=0 queue.left=0"`,
  );
});

test('the span of a refused start shows the cause', async () => {
  const traceCase = await start();
  traceCase.backend.error = { kind: 'unsent', reason: 'refused' };
  await traceCase.submit(1, `${CALLER}-01`);
  const line = traceCase
    .tree()
    .split('\n')
    .find((text) => text.includes('start @s1'));
  expect(line).toMatchInlineSnapshot(
    `"      └─ start @s1  at 0.0 ms for 0.0 ms  ERROR refused: backend_gone  service=booking entry=e2 task=0 attempt=0 slot=1 generation=1 refused=backend_gone"`,
  );
});

test('the backend server receives the traceparent of its call', async () => {
  const traceCase = await start();
  await traceCase.submit(1, `${CALLER}-01`);
  const [call] = traceCase.ids('call');
  expect(traceCase.receivedTraceparents).toEqual([`00-${TRACE}-${call}-01`]);
});

test('a request whose caller asks for no trace is never traced, even with a share of 1', async () => {
  const traceCase = await start(1);
  await traceCase.submit(1, `${CALLER}-00`);
  expect(traceCase.tree()).toBe('no spans');
  expect(traceCase.receivedTraceparents).toEqual([`${CALLER}-00`]);
});

test('the configured share of the requests without a traceparent is traced', async () => {
  const traceCase = await start(1);
  await traceCase.submit(1, '');
  expect(traceCase.tree()).toMatch(/^trace [0-9a-f]{32}: 5 spans of 3 processes/);
});

test('a malformed traceparent is ignored', async () => {
  const traceCase = await start(0);
  await traceCase.submit(1, '00-nonsense');
  expect(traceCase.tree()).toBe('no spans');
});
