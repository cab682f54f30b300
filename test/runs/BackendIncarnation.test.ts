import { errAsync } from 'neverthrow';
import { expect, test } from 'vitest';
import Resources from '../../src/room/Resources';
import RunCase from '../support/RunCase';

test('ends are reported as the backend server lists them', async () => {
  const { runCase } = await RunCase.open((run) => ({ ms: 80, fails: run.index === 1 }));
  runCase.startTasks('a', 2);
  await runCase.timer.advance(200);
  expect(runCase.ends).toEqual(['a.0 DONE', 'a.1 FAILED']);
});

test('a task without free capacity is refused', async () => {
  const { runCase, backend } = await RunCase.open();
  runCase.startTasks('a', 5);
  await runCase.timer.advance(50);
  expect([runCase.ends, backend.maxConcurrentRuns]).toEqual([['a.4 REFUSED'], 4]);
});

test('a start request that finds no free capacity is executed if a run ends within a few milliseconds', async () => {
  const { runCase, backend } = await RunCase.open((run) => ({
    ms: run.index === 0 ? 60 : 900,
    fails: false,
  }));
  runCase.startTasks('a', 4);
  await runCase.timer.advance(57);
  runCase.startTasks('b');
  await runCase.timer.advance(30);
  expect([runCase.ends, backend.maxConcurrentRuns]).toEqual([['a.0 DONE'], 4]);
});

test('a run that is being stopped occupies its capacity until its end is listed', async () => {
  const { runCase, backend } = await RunCase.open();
  runCase.startTasks('a', 4);
  await runCase.timer.advance(10);
  runCase.host.stop(runCase.owner, 'asked');
  runCase.startTasks('b');
  await runCase.timer.advance(100);
  runCase.startTasks('c');
  await runCase.timer.advance(10);
  expect([runCase.ends, backend.runningTasks]).toMatchInlineSnapshot(`
    [
      [
        "b.0 REFUSED",
        "a.0 LOST",
        "a.1 LOST",
        "a.2 LOST",
        "a.3 LOST",
      ],
      [
        "c.0.0",
      ],
    ]
  `);
});

test('runs go on for as long as the lease is renewed', async () => {
  const { runCase } = await RunCase.open();
  runCase.startTasks('a', 1, { spec: '5000' });
  await runCase.timer.advance(5_200);
  expect(runCase.ends).toEqual(['a.0 DONE']);
});

test('a start whose answer is lost is sent again and runs once', async () => {
  const { runCase, backend } = await RunCase.open();
  backend.injectFault({ call: 'start', how: 'lost' });
  runCase.startTasks('a');
  await runCase.timer.advance(500);
  expect([runCase.ends, backend.starts.length]).toEqual([['a.0 DONE'], 1]);
});

test('a start whose answer is lost is sent again long before its task is late', async () => {
  const { runCase, backend } = await RunCase.open();
  for (let round = 0; round < 8; round += 1) {
    runCase.startTasks(`a${round}`, 4, { spec: '5' });
    await runCase.timer.advance(20);
  }
  backend.injectFault({ call: 'start', how: 'dropped' });
  runCase.startTasks('b', 1, { spec: '5' });
  await runCase.timer.advance(50);
  expect(runCase.ends.at(-1)).toBe('b.0 DONE');
});

test('a start that is never answered is stopped before its capacity is freed', async () => {
  const { runCase, backend } = await RunCase.open();
  for (let i = 0; i < 5; i += 1) backend.injectFault({ call: 'start', how: 'late', lateMs: 2_000 });
  runCase.startTasks('a');
  await runCase.timer.advance(3_000);
  expect([runCase.ends, backend.starts, runCase.host.size]).toEqual([['a.0 LOST'], [], 0]);
});

test('a refusal proves nothing while an earlier start is still in flight', async () => {
  const { runCase, backend } = await RunCase.open();
  backend.injectFault({ call: 'start', how: 'late', lateMs: 1_000 });
  backend.refusalReason = 'unfit';
  runCase.startTasks('a');
  await runCase.timer.advance(400);
  backend.refusalReason = undefined;
  await runCase.timer.advance(1_000);
  expect([runCase.ends, backend.starts]).toEqual([['a.0 LOST'], []]);
});

test('a stop that is not answered is sent again', async () => {
  const { runCase, backend } = await RunCase.open();
  runCase.startTasks('a', 1, { spec: '5000' });
  await runCase.timer.advance(10);
  backend.injectFault({ call: 'stop', how: 'dropped' });
  runCase.host.stop(runCase.owner, 'asked');
  await runCase.timer.advance(400);
  expect([runCase.ends, backend.runningTasks]).toEqual([['a.0 LOST'], []]);
});

test('runs at a silent backend server end only when their lease is known to have expired', async () => {
  const { runCase, backend } = await RunCase.open();
  runCase.startTasks('a', 1, { spec: '5000' });
  await runCase.timer.advance(100);
  backend.stopAnswering();
  const log: string[] = [];
  for (let at = 250; at <= 1500; at += 250) {
    await runCase.timer.advance(250);
    log.push(`${at}: ${backend.runningTasks.length} running, ${runCase.ends.length} ended`);
  }
  expect(log).toMatchInlineSnapshot(`
    [
      "250: 1 running, 0 ended",
      "500: 1 running, 0 ended",
      "750: 0 running, 0 ended",
      "1000: 0 running, 0 ended",
      "1250: 0 running, 1 ended",
      "1500: 0 running, 1 ended",
    ]
  `);
});

test('a backend server that was silent accepts tasks again when it answers', async () => {
  const { runCase, backend } = await RunCase.open();
  runCase.startTasks('a', 1, { spec: '5000' });
  await runCase.timer.advance(100);
  backend.stopAnswering();
  await runCase.timer.advance(2_000);
  const wasAccepting = runCase.host.isAccepting;
  backend.resumeAnswering();
  await runCase.timer.advance(500);
  expect([wasAccepting, runCase.host.isAccepting]).toEqual([false, true]);
});

test('a backend server with two unanswered calls gets nothing new until it answers', async () => {
  const { runCase, backend } = await RunCase.open();
  for (let round = 0; round < 8; round += 1) {
    runCase.startTasks(`a${round}`, 4, { spec: '5' });
    await runCase.timer.advance(20);
  }
  backend.stopAnswering();
  runCase.startTasks('b', 1, { spec: '5' });
  await runCase.timer.advance(100);
  const whileUnresponsive = runCase.host.isAccepting;
  backend.resumeAnswering();
  await runCase.timer.advance(200);
  expect([whileUnresponsive, runCase.host.isAccepting]).toEqual([false, true]);
});

// While a backend server accepted connections and reset each of them at once, its sidecar renewed the lease in
// a tight loop: some 1,600 calls in 0.7 s, each with a log line.
test('a renewal that fails at once is retried after a delay', async () => {
  const { runCase, backend } = await RunCase.open();
  runCase.startTasks('a', 1, { spec: '500' });
  await runCase.timer.advance(10);
  const poll = backend.poll.bind(backend);
  let broken = 0;
  backend.poll = (...args) => {
    broken += 1;
    const hasRecovered = broken > 100;
    return hasRecovered ? poll(...args) : errAsync({ kind: 'unanswered', reason: 'reset' });
  };
  await runCase.timer.advance(300);
  expect(broken).toBeLessThan(12);
});

test('runs of a backend server whose process is gone end at once', async () => {
  const { runCase, backend } = await RunCase.open();
  runCase.startTasks('a');
  await runCase.timer.advance(10);
  backend.crash();
  await runCase.timer.advance(300);
  expect([runCase.ends, runCase.host.isAccepting]).toEqual([['a.0 LOST'], false]);
});

test('a draining backend server gets no task after its heartbeat', async () => {
  const { runCase, backend } = await RunCase.open();
  runCase.host.handleHeartbeat(backend.nextHeartbeat({ draining: true }));
  runCase.host.handleHeartbeat(backend.nextHeartbeat());
  runCase.startTasks('a');
  await runCase.timer.advance(100);
  expect([runCase.ends, backend.starts]).toEqual([['a.0 REFUSED'], []]);
});

test('a new backend server is called again when its first answer is lost', async () => {
  const { runCase } = await RunCase.open();
  const next = runCase.addIncarnation('b2');
  next.injectFault({ call: 'hold', how: 'dropped' });
  runCase.host.handleHeartbeat(next.nextHeartbeat());
  await runCase.timer.advance(300);
  expect(runCase.host.current?.heartbeat.id).toBe('b2');
});

test('a late heartbeat of an ended incarnation does not displace the new one', async () => {
  const { runCase, backend } = await RunCase.open();
  backend.replace();
  const late = backend.nextHeartbeat();
  const next = runCase.addIncarnation('b2');
  runCase.host.handleHeartbeat(next.nextHeartbeat());
  await runCase.timer.advance(50);
  runCase.host.handleHeartbeat(late);
  await runCase.timer.advance(50);
  expect(runCase.host.current?.heartbeat.id).toBe('b2');
});

test('what an earlier sidecar left running is stopped before tasks are accepted', async () => {
  const { runCase, backend } = await RunCase.open();
  runCase.startTasks('a', 1, { spec: '700' });
  await runCase.timer.advance(10);
  const second = RunCase.restartSidecar(backend, runCase.timer);
  const before = backend.runningTasks;
  await runCase.timer.advance(150);
  expect([before, backend.runningTasks, second.host.isAccepting]).toEqual([['a.0.0'], [], true]);
});

test('the same task for another owner waits until the earlier run has ended', async () => {
  const { runCase, backend } = await RunCase.open();
  runCase.startTasks('a', 1, { spec: '5000' });
  await runCase.timer.advance(10);
  runCase.startTasks('a', 1, { owner: { ...runCase.owner }, spec: '100' });
  await runCase.timer.advance(400);
  expect([runCase.ends, backend.maxConcurrentRuns]).toEqual([['a.0 LOST', 'a.0 DONE'], 1]);
});

test('an attempt number that is already used there is raised', async () => {
  const { runCase, backend } = await RunCase.open();
  await backend.stop({ batch: 'a', step: 0, index: 0, attempt: 1 }, 50_000, 100);
  runCase.startTasks('a');
  await runCase.timer.advance(500);
  expect([runCase.ends, backend.starts[0]?.attempt]).toEqual([['a.0 DONE'], 2]);
});

test('tasks without the label, of another service, or too many of a step are refused', async () => {
  const { runCase } = await RunCase.open();
  runCase.startTasks('a', 1, { label: 'x' });
  runCase.startTasks('b', 1, { service: 'other' });
  runCase.startTasks('c', 2, { mostTogether: 1 });
  await runCase.timer.advance(10);
  expect(runCase.ends).toEqual(['a.0 REFUSED', 'b.0 REFUSED', 'c.1 REFUSED']);
});

// The capacity that a backend server reports was read from the first heartbeat of an incarnation only; later
// values applied only to the next start request, and no entry was notified.
test('after capacity has shrunk below what runs, nothing starts until enough has ended', async () => {
  const { runCase, backend } = await RunCase.open();
  runCase.startTasks('a', 4);
  await runCase.timer.advance(100);
  const half = Resources.of({ cpuMilli: 8_000, memoryMb: 4_096 });
  runCase.host.handleHeartbeat(backend.nextHeartbeat({ capacity: half }));
  runCase.startTasks('b');
  await runCase.timer.advance(300);
  runCase.startTasks('c', 3);
  await runCase.timer.advance(50);
  expect([runCase.ends, backend.runningTasks]).toEqual([
    ['b.0 REFUSED', 'a.0 DONE', 'a.1 DONE', 'a.2 DONE', 'a.3 DONE', 'c.2 REFUSED'],
    ['c.0.0', 'c.0.1'],
  ]);
});

test('a late heartbeat does not restore capacity that is gone', async () => {
  const { runCase, backend } = await RunCase.open();
  const late = backend.nextHeartbeat();
  const half = Resources.of({ cpuMilli: 8_000, memoryMb: 4_096 });
  runCase.host.handleHeartbeat(backend.nextHeartbeat({ capacity: half }));
  runCase.host.handleHeartbeat(late);
  runCase.startTasks('a', 4);
  await runCase.timer.advance(50);
  expect(backend.maxConcurrentRuns).toBe(2);
});

// A backend server that restarted repeatedly reset each connection: stops were sent again without any delay,
// hundreds a second, each over a new connection.
test('calls whose connections are reset are retried after a delay', async () => {
  const { runCase, backend } = await RunCase.open();
  runCase.startTasks('a', 4, { spec: '5000' });
  await runCase.timer.advance(50);
  backend.resetConnections();
  runCase.host.stop(runCase.owner, 'asked');
  await runCase.timer.advance(150);
  // Four stops and the polls, each at least 30 ms after the one before.
  expect(backend.resetCount).toBeLessThanOrEqual(5 * 6);
});
