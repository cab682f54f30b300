import { expect, test } from 'vitest';
import type LeasedBackend from '../../tools/leasedBackend/LeasedBackend';
import BatchCase from '../support/BatchCase';

/** When callers of a lost entry resubmit at the earliest, ms. */
const CALLER_RESUBMITS_MS = 1_300;

/** Time to kill runs, and timer lag, ms. */
const KILL_MS = 200;

async function openWithRun(): Promise<BatchCase> {
  const batchCase = await BatchCase.open({ entries: 1, sidecars: 1 });
  batchCase.submit('long', { ms: 5_000 });
  await batchCase.timer.advance(600);
  expect(batchCase.running).toEqual(['long.0.0']);
  return batchCase;
}

// Entries with an eighth of a core answered pulses some 500 ms late during a burst: on a small day with fifteen
// sidecars they were presumed dead 1,082 times, and 1,379 runs were stopped and had to be dispatched again.
test('an entry that answers half a second late is not presumed dead', async () => {
  const batchCase = await openWithRun();
  batchCase.network.delay('e0', 's0', 265);
  await batchCase.timer.advance(3_000);
  expect(batchCase.backends[0]!.starts.length).toBe(1);
});

test.each([0, 100, 200, 300])(
  'the runs of an entry that goes silent %i ms later have ended when its callers resubmit',
  async (laterMs) => {
    const batchCase = await openWithRun();
    await batchCase.timer.advance(laterMs);
    batchCase.network.blackhole('e0', 's0');
    await batchCase.timer.advance(CALLER_RESUBMITS_MS - KILL_MS);
    expect(batchCase.running).toEqual([]);
  },
);

// After a pause of the sidecar the silence of its entries was measured anew, even if only its wall clock was set.
test('setting the wall clock does not extend the runs of a silent entry', async () => {
  const batchCase = await openWithRun();
  const { timer } = batchCase;
  batchCase.network.blackhole('e0', 's0');
  for (let step = 0; step < 3; step += 1) {
    await timer.advance(300);
    timer.stepWall(2_000);
  }
  await timer.advance(CALLER_RESUBMITS_MS - KILL_MS - 900);
  expect(batchCase.running).toEqual([]);
});

/** One backend server on which a task of each of two entries runs. */
async function openWithTwoOwners(): Promise<BatchCase> {
  const batchCase = await BatchCase.open({ entries: 2, sidecars: 1 });
  batchCase.submit('lost', { entry: 0, ms: 8_000 });
  batchCase.submit('other', { entry: 1, ms: 8_000 });
  await batchCase.timer.advance(700);
  expect(batchCase.running).toEqual(['lost.0.0', 'other.0.0']);
  return batchCase;
}

function dropStops(backend: LeasedBackend): void {
  for (let stops = 0; stops < 40; stops += 1) backend.injectFault({ call: 'stop', how: 'dropped' });
}

// The lease covers everything on a backend server, and was renewed for the runs of other entries.
test.each([0, 100, 200, 300])(
  'a run of an entry that goes silent %i ms later, whose stop is not answered, has ended when its caller resubmits',
  async (laterMs) => {
    const batchCase = await openWithTwoOwners();
    await batchCase.timer.advance(laterMs);
    dropStops(batchCase.backends[0]!);
    batchCase.network.blackhole('e0', 's0');
    await batchCase.timer.advance(CALLER_RESUBMITS_MS);
    expect(batchCase.running).not.toContain('lost.0.0');
  },
);

test('a run of a killed entry whose stop is not answered has ended when its caller resubmits', async () => {
  const batchCase = await openWithTwoOwners();
  dropStops(batchCase.backends[0]!);
  batchCase.network.kill('e0');
  await batchCase.timer.advance(CALLER_RESUBMITS_MS);
  expect(batchCase.running).not.toContain('lost.0.0');
});

test('a task whose sidecar is unreachable and cannot stop it does not run twice at once', async () => {
  const batchCase = await BatchCase.open({ entries: 2, sidecars: 3 });
  const { timer, backends, network } = batchCase;
  const long = { ms: 20_000, waitMs: 30_000 };
  const filling = batchCase.submit('filling', { entry: 1, tasks: 8, ...long });
  batchCase.submit('other', { entry: 1, ...long });
  await timer.advance(50);
  batchCase.submit('lost', { entry: 0, ...long });
  await timer.advance(600);
  filling.gone.abort();
  const shared = backends.findIndex(({ runningTasks: tasks }) => tasks.includes('lost.0.0'));
  expect(backends[shared]!.runningTasks).toEqual(['lost.0.0', 'other.0.0']);
  dropStops(backends[shared]!);
  network.partition('e0', `s${shared}`);
  await timer.advance(3_000);
  expect(batchCase.maxConcurrentRuns).toBe(1);
});

test('a start request that waited in a paused entry is not executed when the entry resumes', async () => {
  const batchCase = await BatchCase.open({ entries: 1, sidecars: 1 });
  const { timer, network, backends } = batchCase;
  network.pause('e0');
  await timer.advance(1_000);
  batchCase.submit('late', { ms: 5_000 });
  await timer.advance(200);
  network.resume('e0');
  await timer.advance(1);
  expect(backends[0]!.starts).toEqual([]);
});
