import { expect, test } from 'vitest';
import type LeasedBackend from '../../tools/leasedBackend/LeasedBackend';
import BatchCase from '../support/BatchCase';
import RunCase from '../support/RunCase';

// A backend server may restart under the same id. Its heartbeats then begin at 1, so they were ignored as late
// ones; its ends begin at 1 too, below the last one processed, so runs that had ended were reported as lost;
// its clock, which was the fencing token, starts anew, so earlier starts were executed, and ours then refused.

const BORN = 1_780_000_000_000;

async function open() {
  const { runCase, backend } = await RunCase.open(undefined, BORN);
  const heartbeat = async (): Promise<void> => {
    runCase.host.handleHeartbeat(backend.nextHeartbeat());
    await runCase.timer.advance(50);
  };
  return { runCase, backend, heartbeat };
}

/** Three ends are processed first, so that the end numbers of the next incarnation are below them. */
async function withEnds() {
  const fixture = await open();
  fixture.runCase.startTasks('before', 3, { spec: '20' });
  await fixture.runCase.timer.advance(150);
  fixture.runCase.host.handleHeartbeat(fixture.backend.nextHeartbeat());
  fixture.runCase.ends.length = 0;
  return fixture;
}

test('runs of an incarnation under the same id are reported as they end there', async () => {
  const { runCase, backend, heartbeat } = await withEnds();
  backend.restart();
  await heartbeat();
  runCase.startTasks('a', 2, { spec: '20' });
  await runCase.timer.advance(200);
  expect(runCase.ends).toEqual(['a.0 DONE', 'a.1 DONE']);
});

test('a restart under load ends what ran, and the next incarnation is filled again', async () => {
  const { runCase, backend, heartbeat } = await withEnds();
  runCase.startTasks('a', 4, { spec: '900' });
  await runCase.timer.advance(200);
  backend.restart();
  runCase.host.handleHeartbeat(backend.nextHeartbeat());
  const atOnce = [...runCase.ends];
  await heartbeat();
  runCase.startTasks('b', 4, { spec: '20' });
  await runCase.timer.advance(200);
  expect([atOnce, runCase.ends.slice(atOnce.length)]).toEqual([
    ['a.0 LOST', 'a.1 LOST', 'a.2 LOST', 'a.3 LOST'],
    ['b.0 DONE', 'b.1 DONE', 'b.2 DONE', 'b.3 DONE'],
  ]);
});

test('a backend server that restarts twice in a row is served in its third incarnation', async () => {
  const { runCase, backend, heartbeat } = await withEnds();
  runCase.startTasks('a', 2, { spec: '900' });
  await runCase.timer.advance(100);
  backend.restart();
  runCase.host.handleHeartbeat(backend.nextHeartbeat());
  await runCase.timer.advance(1);
  backend.restart();
  await heartbeat();
  runCase.startTasks('b', 1, { spec: '20' });
  await runCase.timer.advance(200);
  expect([runCase.ends, runCase.host.current?.heartbeat.born]).toEqual([
    ['a.0 LOST', 'a.1 LOST', 'b.0 DONE'],
    backend.nextHeartbeat().born,
  ]);
});

test('a late heartbeat of an earlier incarnation changes nothing', async () => {
  const { runCase, backend, heartbeat } = await open();
  const late = { ...backend.nextHeartbeat({ draining: true }), sequence: 1_000 };
  backend.restart();
  await heartbeat();
  runCase.host.handleHeartbeat(late);
  await runCase.timer.advance(50);
  runCase.startTasks('a', 1, { spec: '20' });
  await runCase.timer.advance(100);
  expect(runCase.ends).toEqual(['a.0 DONE']);
});

test('a heartbeat after the announcement of a shutdown shows that the backend server stays', async () => {
  const { runCase, backend, heartbeat } = await open();
  backend.restart();
  await heartbeat();
  runCase.host.handleLeaving('b1');
  const whileLeaving = runCase.host.isAccepting;
  await heartbeat();
  expect([whileLeaving, runCase.host.isAccepting]).toEqual([false, true]);
});

test('a poll result shows a later incarnation before its first heartbeat', async () => {
  const { runCase, backend } = await withEnds();
  runCase.startTasks('a', 2, { spec: '900' });
  await runCase.timer.advance(200);
  backend.restart();
  await runCase.timer.advance(100);
  expect([runCase.ends, runCase.host.current]).toEqual([['a.0 LOST', 'a.1 LOST'], undefined]);
});

/** Starts a task, and records what runs at the backend server when the end of the run is reported. */
function startWatched(runCase: RunCase, backend: LeasedBackend): string[] {
  const seen: string[] = [];
  const onEnded = (): unknown => seen.push(`ended, ${backend.runningTasks.length} running`);
  runCase.startTasks('a', 1, { spec: '700', onEnded });
  return seen;
}

test.each([
  ['before the next incarnation is known', 20],
  ['after the next incarnation is known', 90],
])(
  'a start that is executed late, %s, has ended only when nothing of it runs',
  async (_name, lateMs) => {
    const { runCase, backend, heartbeat } = await withEnds();
    backend.injectFault({ call: 'start', how: 'late', lateMs });
    const seen = startWatched(runCase, backend);
    await runCase.timer.advance(10);
    backend.restart();
    await runCase.timer.advance(30);
    const before = [...seen];
    await heartbeat();
    await runCase.timer.advance(200);
    expect([before, seen, backend.runningTasks]).toEqual([[], ['ended, 0 running'], []]);
  },
);

test('a start answered by the next incarnation before that is known has ended only when nothing of it runs', async () => {
  const { runCase, backend, heartbeat } = await withEnds();
  backend.restart();
  const seen = startWatched(runCase, backend);
  await runCase.timer.advance(10);
  const [ran] = backend.runningTasks;
  await heartbeat();
  await runCase.timer.advance(100);
  expect([ran, seen, backend.runningTasks]).toEqual(['a.0.0', ['ended, 0 running'], []]);
});

// The run was presumed to have ended when the lease that its start carried had expired. The next incarnation
// measures the lease by a clock that begins anew, so it started the task, which already ran elsewhere.
test('a task whose start a next incarnation executes after 1.4 s does not run twice at once', async () => {
  const batchCase = await BatchCase.open({ entries: 1, firstStartedAt: BORN });
  const { timer, backends } = batchCase;
  batchCase.submit('a', { ms: 3_000 });
  backends.forEach((backend) => backend.injectFault({ call: 'start', how: 'late', lateMs: 1_400 }));
  await timer.advance(5);
  backends[0]!.crash();
  await timer.advance(1_200);
  backends[0]!.restart();
  await timer.advance(800);
  batchCase.sendHeartbeat(0);
  await timer.advance(500);
  expect([batchCase.maxConcurrentRuns, batchCase.running]).toEqual([1, ['a.0.0']]);
});

test('without a next incarnation an unanswered start has ended once no start can be executed that late', async () => {
  const { runCase, backend } = await withEnds();
  backend.injectFault({ call: 'start', how: 'lost' });
  const seen = startWatched(runCase, backend);
  await runCase.timer.advance(5);
  backend.crash();
  await runCase.timer.advance(4_800);
  const before = [...seen];
  await runCase.timer.advance(300);
  expect([before, seen, runCase.host.size]).toEqual([[], ['ended, 0 running'], 0]);
});

test('an unanswered start ends in time when its job was cancelled meanwhile', async () => {
  const { runCase, backend, heartbeat } = await withEnds();
  backend.injectFault({ call: 'start', how: 'late', lateMs: 20 });
  const seen = startWatched(runCase, backend);
  await runCase.timer.advance(10);
  backend.restart();
  await runCase.timer.advance(15);
  runCase.host.stop(runCase.owner, 'asked');
  const hasRuns = runCase.host.hasRunsOf(runCase.owner);
  await heartbeat();
  await runCase.timer.advance(100);
  const end = [runCase.host.hasRunsOf(runCase.owner), seen, backend.runningTasks];
  expect([hasRuns, end]).toEqual([true, [false, ['ended, 0 running'], []]]);
});

test('a sidecar that restarts beside a later incarnation is not fenced, and its predecessor is', async () => {
  const { runCase, backend, heartbeat } = await withEnds();
  await runCase.timer.advance(5_000);
  backend.restart();
  await heartbeat();
  backend.injectFault({ call: 'start', how: 'late', lateMs: 100 });
  runCase.startTasks('old', 1, { spec: '900' });
  await runCase.timer.advance(10);
  // The earlier process is gone; its start is still in flight.
  const next = RunCase.restartSidecar(backend, runCase.timer);
  await runCase.timer.advance(60);
  next.startTasks('new', 1, { spec: '20' });
  await runCase.timer.advance(100);
  expect([next.ends, backend.starts.at(-1)?.batch]).toEqual([['new.0 DONE'], 'new']);
});

// The token was the backend server's clock, which starts anew with each of its incarnations.
test('a start from an earlier sidecar to an earlier incarnation is refused when it is executed late', async () => {
  const { runCase, backend } = await open();
  await runCase.timer.advance(5_000);
  const earlier = RunCase.restartSidecar(backend, runCase.timer);
  await runCase.timer.advance(50);
  backend.injectFault({ call: 'start', how: 'late', lateMs: 200 });
  earlier.startTasks('old', 1, { spec: '900' });
  await runCase.timer.advance(10);
  backend.restart();
  const next = RunCase.restartSidecar(backend, runCase.timer);
  await runCase.timer.advance(300);
  next.startTasks('new', 1, { spec: '20' });
  await runCase.timer.advance(100);
  expect([next.ends, backend.starts.map(({ batch }) => batch)]).toEqual([['new.0 DONE'], ['new']]);
});

// The clocks of incarnations need not begin alike: an earlier sidecar's token may be ahead by any amount.
test('a sidecar that is fenced soon has a valid token', async () => {
  const { runCase, backend } = await open();
  await backend.poll(0, BORN + 86_400_000, 0, 100);
  const next = RunCase.restartSidecar(backend, runCase.timer);
  await runCase.timer.advance(50);
  for (let round = 0; round < 8; round += 1) {
    next.startTasks(`a${round}`, 1, { spec: '20' });
    await runCase.timer.advance(200);
  }
  expect(next.ends.at(-1)).toBe('a7.0 DONE');
});

test('a heartbeat under the id of the current incarnation, but of another service, changes nothing', async () => {
  const { runCase, backend } = await open();
  runCase.host.handleHeartbeat(backend.nextHeartbeat({ service: 'other' }));
  runCase.startTasks('a', 1, { spec: '20' });
  await runCase.timer.advance(100);
  expect(runCase.ends).toEqual(['a.0 DONE']);
});

// Two refused connections show that a backend server is gone, but the start that met the first was sent again.
test('a start that waits for its retry is not sent to the next incarnation', async () => {
  const { runCase, backend } = await open();
  runCase.startTasks('before', 1, { spec: '5000' });
  await runCase.timer.advance(20);
  backend.crash();
  runCase.startTasks('a', 2, { spec: '5000' });
  await runCase.timer.advance(1);
  backend.restart();
  const ends = [...runCase.ends].sort();
  await runCase.timer.advance(500);
  expect([ends, backend.runningTasks]).toEqual([['a.0 LOST', 'a.1 LOST', 'before.0 LOST'], []]);
});

test('a run has ended only when nothing of it runs, also after an error in its sidecar', async () => {
  const { runCase, backend } = await RunCase.open();
  const seen = startWatched(runCase, backend);
  await runCase.timer.advance(100);
  backend.poll = () => {
    throw new Error('a fault');
  };
  await runCase.timer.advance(1_500);
  expect(seen).toEqual(['ended, 0 running']);
});

// Its heartbeats were ignored as those of an ended incarnation.
test('a backend server that was abandoned after an error accepts tasks again after its next heartbeat', async () => {
  const { runCase, backend } = await RunCase.open();
  const seen = startWatched(runCase, backend);
  await runCase.timer.advance(100);
  const { poll } = backend;
  backend.poll = () => {
    backend.poll = poll;
    throw new Error('a fault');
  };
  await runCase.timer.advance(200);
  runCase.host.handleHeartbeat(backend.nextHeartbeat());
  await runCase.timer.advance(100);
  runCase.startTasks('b', 1, { spec: '20' });
  await runCase.timer.advance(100);
  expect([seen, runCase.ends]).toEqual([['ended, 0 running'], ['b.0 DONE']]);
});

test('a run has ended only when nothing of it runs, also when another backend server appears at another address', async () => {
  const { runCase, backend } = await RunCase.open();
  const seen = startWatched(runCase, backend);
  await runCase.timer.advance(100);
  runCase.host.handleHeartbeat(
    runCase.addIncarnation('b2').nextHeartbeat({ address: '127.0.0.1:2' }),
  );
  await runCase.timer.advance(1_500);
  expect(seen).toEqual(['ended, 0 running']);
});

/** How far the clock is set back, ms: longer than any report of a start time can be delayed. */
const SET_BACK_MS = 100_000;

// An incarnation with a start time before that of its predecessor was mistaken for an earlier one, since only
// the start times were compared: its answers counted as none, and its heartbeats as late ones.
test('a start answered by an incarnation whose clock was set back has ended only when nothing of it runs', async () => {
  const { runCase, backend, heartbeat } = await withEnds();
  await runCase.timer.advance(5_000);
  await heartbeat();
  backend.restart(SET_BACK_MS);
  const seen: string[] = [];
  const onEnded = (): unknown => seen.push(`ended, ${backend.runningTasks.length} running`);
  runCase.startTasks('a', 1, { spec: '5000', onEnded });
  await runCase.timer.advance(10);
  const [ran] = backend.runningTasks;
  // The lease of the start is by the clock of the previous incarnation.
  await runCase.timer.advance(950);
  await heartbeat();
  await runCase.timer.advance(200);
  expect([ran, seen, backend.runningTasks]).toEqual(['a.0.0', ['ended, 0 running'], []]);
});

test('an incarnation whose clock was set back accepts tasks once an answer has shown that it is there', async () => {
  const { runCase, backend, heartbeat } = await withEnds();
  const late = { ...backend.nextHeartbeat(), sequence: 1_000 };
  backend.restart(SET_BACK_MS);
  runCase.startTasks('a', 1, { spec: '20' });
  await runCase.timer.advance(50);
  await heartbeat();
  runCase.host.handleHeartbeat(late);
  await runCase.timer.advance(50);
  runCase.startTasks('b', 2, { spec: '20' });
  await runCase.timer.advance(200);
  expect(runCase.ends.slice(1)).toEqual(['b.0 DONE', 'b.1 DONE']);
});

test('after an incarnation whose clock was set back the next one accepts tasks', async () => {
  const { runCase, backend, heartbeat } = await withEnds();
  for (const setBackMs of [SET_BACK_MS, SET_BACK_MS - 1_000]) {
    await runCase.timer.advance(50);
    backend.restart(setBackMs);
    runCase.startTasks('a', 1, { spec: '20' });
    await runCase.timer.advance(50);
    await heartbeat();
  }
  runCase.startTasks('b', 1, { spec: '20' });
  await runCase.timer.advance(200);
  expect(runCase.ends.at(-1)).toBe('b.0 DONE');
});
