import { expect, test } from 'vitest';
import ringSuccessors from '../../src/peering/ringSuccessors';
import BatchCase from '../support/BatchCase';

const ENTRY_COUNT = 12;

// With 35 entries, each change of the configuration was sent whole over both links of each pair,
// 2,380 copies, and all entries sent their known addresses to each newly linked one.
test('a configuration reaches every entry in a few messages each', async () => {
  const batchCase = await BatchCase.open({ entries: ENTRY_COUNT, sidecars: 0, configured: false });
  await batchCase.timer.advance(2_000);
  batchCase.network.resetCounts();
  batchCase.configure();
  await batchCase.timer.advance(500);
  const versions = batchCase.entries.map(({ table }) => table.version);
  expect(versions).toEqual(Array(ENTRY_COUNT).fill(1));
  expect(batchCase.network.messageCounts().configuration).toBeLessThanOrEqual(4 * ENTRY_COUNT);
});

// Every entry also gets it from the store. With 1,400 queues each copy was 230 kB, and on links of
// the smallest machines the copies of other entries delayed the one of the store, for longer than a
// change may take.
test('entries exchange only the version of a configuration that the store delivers to all', async () => {
  const batchCase = await BatchCase.open({ entries: ENTRY_COUNT, sidecars: 0, configured: false });
  await batchCase.timer.advance(2_000);
  batchCase.network.resetCounts();
  batchCase.entries.forEach((_, entry) => batchCase.configure(1, entry));
  await batchCase.timer.advance(3_000);
  const { configuration = 0, configurationKnown } = batchCase.network.messageCounts();
  expect([configuration, configurationKnown]).toEqual([0, 4 * ENTRY_COUNT]);
});

test('an entry that the store skips requests the configuration from another after a second', async () => {
  const batchCase = await BatchCase.open({ entries: ENTRY_COUNT, sidecars: 0 });
  await batchCase.timer.advance(2_000);
  batchCase.network.resetCounts();
  const [left, ...others] = [...batchCase.entries.keys()];
  others.forEach((entry) => batchCase.configure(2, entry));
  await batchCase.timer.advance(900);
  const before = batchCase.entries[left!]!.table.version;
  await batchCase.timer.advance(300);
  const after = batchCase.entries[left!]!.table.version;
  expect([before, after, batchCase.network.messageCounts().configuration]).toEqual([1, 2, 1]);
});

test('an entry that gets no response requests the configuration from another', async () => {
  const batchCase = await BatchCase.open({ entries: 3, sidecars: 0 });
  await batchCase.timer.advance(2_000);
  batchCase.configure(2, 1);
  batchCase.configure(2, 2);
  await batchCase.timer.advance(100);
  batchCase.network.blackhole('e0', 'e2');
  await batchCase.timer.advance(2_200);
  expect(batchCase.entries[0]!.table.version).toBe(2);
});

test('an entry whose ring neighbours are all gone still receives a configuration', async () => {
  const batchCase = await BatchCase.open({ entries: ENTRY_COUNT, sidecars: 0, configured: false });
  const lost = ['e6', 'e7', 'e8', 'e9', 'e5', 'e4'];
  await batchCase.timer.advance(2_000);
  lost.forEach((one) => batchCase.network.kill(one));
  await batchCase.timer.advance(500);
  batchCase.configure();
  await batchCase.timer.advance(500);
  const versions = [0, 1, 2, 3, 10, 11].map((one) => batchCase.entries[one]!.table.version);
  expect(versions).toEqual(Array(6).fill(1));
});

test('entries that start together announce each other in a few messages each', async () => {
  const batchCase = await BatchCase.open({ entries: ENTRY_COUNT, sidecars: 0, configured: false });
  await batchCase.timer.advance(2_000);
  expect(batchCase.entries.map((entry) => entry.entryLinkCount)).toEqual(
    Array(ENTRY_COUNT).fill(ENTRY_COUNT - 1),
  );
  expect(batchCase.network.messageCounts().knownEntries! / ENTRY_COUNT).toBeLessThanOrEqual(
    6 * ENTRY_COUNT,
  );
});

test('no link between entries is considered silent while both are up', async () => {
  const batchCase = await BatchCase.open({ entries: 3, sidecars: 0 });
  await batchCase.timer.advance(2_000);
  batchCase.network.resetCounts();
  await batchCase.timer.advance(60_000);
  expect(batchCase.entries.map((entry) => entry.entryLinkCount)).toEqual([2, 2, 2]);
  expect(batchCase.network.messageCounts().dial ?? 0).toBe(0);
});

test('entries whose link has ended are linked again, whichever of them dialled', async () => {
  const batchCase = await BatchCase.open({ entries: 3, sidecars: 0 });
  await batchCase.timer.advance(2_000);
  batchCase.network.partition('e0', 'e1');
  batchCase.network.partition('e1', 'e2');
  await batchCase.timer.advance(1_000);
  const apart = batchCase.entries.map((entry) => entry.entryLinkCount);
  batchCase.network.heal('e0', 'e1');
  batchCase.network.heal('e1', 'e2');
  await batchCase.timer.advance(2_000);
  const together = batchCase.entries.map((entry) => entry.entryLinkCount);
  expect([apart, together]).toEqual([
    [1, 0, 1],
    [2, 2, 2],
  ]);
});

test('the successors in a ring wrap around', () => {
  const names = ['a', 'b', 'c', 'd', 'e'];
  expect([...ringSuccessors('d', names, 3)]).toEqual(['e', 'a', 'b']);
});
