import { expect, test } from 'vitest';
import BatchCase from '../support/BatchCase';
import RunCase from '../support/RunCase';

/** A start request whose five starts get no answer and are executed a second later. */
async function withLateStarts() {
  const { runCase, backend } = await RunCase.open();
  for (let i = 0; i < 5; i += 1) backend.injectFault({ call: 'start', how: 'late', lateMs: 1_000 });
  runCase.startTasks('a', 1, { spec: '5000' });
  await runCase.timer.advance(10);
  return { runCase, backend };
}

test('a task that would start late, after its job was cancelled, does not start', async () => {
  const { runCase, backend } = await withLateStarts();
  runCase.host.stop(runCase.owner, 'asked');
  await runCase.timer.advance(2_000);
  expect([runCase.ends, backend.starts]).toEqual([['a.0 LOST'], []]);
});

const unknownRun = { batch: 'x', step: 0, index: 0, attempt: 1 };

/** The fencing token of the current sidecar: its backend server's clock at the first heartbeat. */
const TOKEN = 50_000;

test('a late start from an earlier sidecar is refused', async () => {
  const { runCase, backend } = await RunCase.open();
  runCase.startTasks('a', 1, { spec: '5000' });
  await runCase.timer.advance(10);
  await backend.start(unknownRun, '5000', backend.nextHeartbeat().clockMs + 500, TOKEN - 1, 100);
  expect(backend.runningTasks).toEqual(['a.0.0']);
});

test('a task that starts late and that nobody waits for is stopped soon', async () => {
  const { runCase, backend } = await RunCase.open();
  runCase.startTasks('a', 1, { spec: '5000' });
  await runCase.timer.advance(10);
  await backend.start(unknownRun, '5000', backend.nextHeartbeat().clockMs + 100, TOKEN, 100);
  const started = backend.runningTasks;
  await runCase.timer.advance(300);
  expect([started, backend.runningTasks]).toEqual([['a.0.0', 'x.0.0'], ['a.0.0']]);
});

test('a task that starts late at an idle backend server ends with the lease that its start carried', async () => {
  const { runCase, backend } = await RunCase.open();
  await backend.start(unknownRun, '5000', backend.nextHeartbeat().clockMs + 100, TOKEN, 100);
  await runCase.timer.advance(200);
  expect(backend.runningTasks).toEqual([]);
});

/** Loses the answers to a job's starts, applies the event, and returns the running tasks 1.5 s and 5 s later. */
async function afterLateStarts(
  applyEvent: (batchCase: BatchCase, caller: AbortController) => void,
) {
  const batchCase = await BatchCase.open({ entries: 1, sidecars: 1 });
  const { timer } = batchCase;
  const [backend] = batchCase.backends;
  // The first starts are executed late, in part after the job has been given up.
  for (const lateMs of [20, 60, 300, 1_000, 2_500, 4_000]) {
    backend!.injectFault({ call: 'start', how: 'late', lateMs });
  }
  const { gone } = batchCase.submit('a', { tasks: 3, ms: 20_000 });
  await timer.advance(30);
  applyEvent(batchCase, gone);
  await timer.advance(1_500);
  const early = batchCase.running;
  await timer.advance(3_500);
  return [early, batchCase.running];
}

test('late starts of a cancelled job do not run on', async () => {
  expect(await afterLateStarts((_batchCase, caller) => caller.abort())).toEqual([[], []]);
});

test('late starts for an entry that was removed do not run on', async () => {
  expect(await afterLateStarts(({ network }) => network.kill('e0'))).toEqual([[], []]);
});

test('late starts for an isolated entry do not run on', async () => {
  const runs = await afterLateStarts(({ network }) => network.blackhole('e0', 's0'));
  expect(runs).toEqual([[], []]);
});

// The monotonic clock stands still while the process is suspended, so only the wall clock shows that the entry
// may be gone.
test('an unanswered start is not sent again for an entry that must be confirmed alive again', async () => {
  const batchCase = await BatchCase.open({ entries: 1, sidecars: 1 });
  const { timer, backends, network } = batchCase;
  await timer.advance(300);
  for (let tries = 0; tries < 2; tries += 1)
    backends[0]!.injectFault({ call: 'start', how: 'dropped' });
  batchCase.submit('a', { ms: 8_000 });
  await timer.advance(5);
  network.pause('e0');
  timer.stepWall(10_000);
  await timer.advance(500);
  expect(backends[0]!.starts).toEqual([]);
});
