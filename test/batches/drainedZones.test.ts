import { expect, test } from 'vitest';
import DrainedZones from '../../src/peering/DrainedZones';
import BatchCase from '../support/BatchCase';

// Operators drain a zone in the store. No process read that: thousands of tasks were started in
// drained zones, minutes after the operators had been told that the setting was stored.

const ZONES = ['a', 'b'];

function open(entries = 2): Promise<BatchCase> {
  return BatchCase.open({ entries, sidecars: 2, zones: ZONES });
}

/** Numbers of tasks started so far at the backend servers of zones "a" and "b". */
function startsOf({ backends }: BatchCase): readonly number[] {
  return backends.map(({ starts }) => starts.length);
}

test('a drained availability zone gets no new tasks, and its runs continue', async () => {
  const batchCase = await open();
  const before = batchCase.submit('before', { tasks: 8, ms: 500 });
  await batchCase.timer.advance(100);
  batchCase.entries[0]!.drainZones(DrainedZones.of(5n, ['a']), 'a test');
  const after = batchCase.submit('after', { tasks: 4 });
  await batchCase.timer.advance(900);
  expect([before.answer?.kind, after.answer?.kind, startsOf(batchCase)]).toEqual([
    'completed',
    'completed',
    [4, 8],
  ]);
});

test('entries receive drained zones from other entries if the store does not deliver them', async () => {
  const batchCase = await open(12);
  batchCase.entries[0]!.drainZones(DrainedZones.of(5n, ['a']), 'a test');
  await batchCase.timer.advance(100);
  const known = batchCase.entries.map(({ drainedZones }) => drainedZones.zones);
  expect(known).toEqual(Array(12).fill(['a']));
});

test('an entry that did not receive them from the store starts nothing in drained zones', async () => {
  const batchCase = await open();
  batchCase.entries[0]!.drainZones(DrainedZones.of(5n, ['a']), 'a test');
  await batchCase.timer.advance(100);
  batchCase.submit('one', { entry: 1, tasks: 6 });
  await batchCase.timer.advance(500);
  expect(startsOf(batchCase)).toEqual([0, 6]);
});

test('an availability zone that is no longer drained gets tasks again', async () => {
  const batchCase = await open();
  batchCase.entries[0]!.drainZones(DrainedZones.of(5n, ['a']), 'a test');
  await batchCase.timer.advance(100);
  batchCase.entries[1]!.drainZones(DrainedZones.of(7n, []), 'a test');
  await batchCase.timer.advance(100);
  batchCase.submit('again', { tasks: 8 });
  await batchCase.timer.advance(50);
  expect(startsOf(batchCase)).toEqual([4, 4]);
});

test('an older revision of drained zones does not replace a newer one', async () => {
  const batchCase = await open();
  batchCase.entries[0]!.drainZones(DrainedZones.of(7n, []), 'a test');
  batchCase.entries[1]!.drainZones(DrainedZones.of(5n, ['a']), 'a test');
  await batchCase.timer.advance(100);
  batchCase.submit('one', { tasks: 8 });
  await batchCase.timer.advance(50);
  expect(startsOf(batchCase)).toEqual([4, 4]);
});

test('a batch is refused immediately if only drained zones have backend servers', async () => {
  const batchCase = await open();
  await batchCase.timer.advance(3_000);
  batchCase.entries[0]!.drainZones(DrainedZones.of(5n, ['a', 'b']), 'a test');
  await batchCase.timer.advance(100);
  const refused = batchCase.submit('one');
  await batchCase.timer.advance(1);
  expect([refused.answer, batchCase.entries[0]!.isReady]).toEqual([
    {
      kind: 'not-run',
      reason: 'no backend server of the service takes tasks',
      retryAfterMs: 3_000,
    },
    false,
  ]);
});

test('restarted processes receive the drained zones before they start any task', async () => {
  const batchCase = await open();
  batchCase.entries[0]!.drainZones(DrainedZones.of(5n, ['a']), 'a test');
  await batchCase.timer.advance(100);
  batchCase.network.kill('s0');
  batchCase.network.kill('e1');
  batchCase.restartSidecar(0);
  await batchCase.addEntry(1);
  await batchCase.timer.advance(50);
  batchCase.submit('one', { entry: 0, tasks: 4 });
  batchCase.submit('other', { entry: 1, tasks: 4 });
  await batchCase.timer.advance(2_000);
  expect(startsOf(batchCase)).toEqual([0, 8]);
});

test('a task that waits for an earlier run to end is not started in a zone drained meanwhile', async () => {
  const batchCase = await open();
  batchCase.backends[1]!.crash();
  await batchCase.timer.advance(500);
  batchCase.submit('a', { entry: 0, ms: 5_000 });
  await batchCase.timer.advance(100);
  batchCase.submit('a', { entry: 1, ms: 5_000 });
  await batchCase.timer.advance(2);
  batchCase.entries[0]!.drainZones(DrainedZones.of(5n, ['a']), 'a test');
  await batchCase.timer.advance(1_000);
  expect(batchCase.backends[0]!.starts.length).toBe(1);
});
