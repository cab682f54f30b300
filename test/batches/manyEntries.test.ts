import { expect, test } from 'vitest';
import ringSuccessors from '../../src/peering/ringSuccessors';
import BatchCase from '../support/BatchCase';

const MANY = 12;

// With 35 entries each change of the configuration went whole over both links of each pair, 2,380 copies, and
// each entry that was linked anew had all others tell all of theirs where entries listen.
test('a configuration reaches every entry in a few copies each', async () => {
  const batchCase = await BatchCase.open({ entries: MANY, sidecars: 0, configured: false });
  await batchCase.timer.advance(2_000);
  batchCase.network.resetCounts();
  batchCase.configure();
  await batchCase.timer.advance(500);
  const versions = batchCase.entries.map(({ table }) => table.version);
  expect(versions).toEqual(Array(MANY).fill(1));
  expect(batchCase.network.messageCounts().configuration).toBeLessThanOrEqual(4 * MANY);
});

// Every entry has it from the store, too. With 1,400 queues each copy was 230 kB, and on links of the smallest
// machines what came from others held up what came from the store, for longer than a change may take.
test('a configuration that the store tells to all goes between entries by its version only', async () => {
  const batchCase = await BatchCase.open({ entries: MANY, sidecars: 0, configured: false });
  await batchCase.timer.advance(2_000);
  batchCase.network.resetCounts();
  batchCase.entries.forEach((_, entry) => batchCase.configure(1, entry));
  await batchCase.timer.advance(3_000);
  const { configuration = 0, configurationKnown } = batchCase.network.messageCounts();
  expect([configuration, configurationKnown]).toEqual([0, 4 * MANY]);
});

test('an entry that the store does not tell asks one of the others after a second', async () => {
  const batchCase = await BatchCase.open({ entries: MANY, sidecars: 0 });
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

test('an entry that gets no answer asks another', async () => {
  const batchCase = await BatchCase.open({ entries: 3, sidecars: 0 });
  await batchCase.timer.advance(2_000);
  batchCase.configure(2, 1);
  batchCase.configure(2, 2);
  await batchCase.timer.advance(100);
  batchCase.network.blackhole('e0', 'e2');
  await batchCase.timer.advance(2_200);
  expect(batchCase.entries[0]!.table.version).toBe(2);
});

test('an entry whose neighbours are all gone still hears of a configuration', async () => {
  const batchCase = await BatchCase.open({ entries: MANY, sidecars: 0, configured: false });
  const lost = ['e6', 'e7', 'e8', 'e9', 'e5', 'e4'];
  await batchCase.timer.advance(2_000);
  lost.forEach((one) => batchCase.network.kill(one));
  await batchCase.timer.advance(500);
  batchCase.configure();
  await batchCase.timer.advance(500);
  const versions = [0, 1, 2, 3, 10, 11].map((one) => batchCase.entries[one]!.table.version);
  expect(versions).toEqual(Array(6).fill(1));
});

test('entries that start together tell of each other in a few messages each', async () => {
  const batchCase = await BatchCase.open({ entries: MANY, sidecars: 0, configured: false });
  await batchCase.timer.advance(2_000);
  expect(batchCase.entries.map((entry) => entry.entryLinkCount)).toEqual(
    Array(MANY).fill(MANY - 1),
  );
  expect(batchCase.network.messageCounts().knownEntries! / MANY).toBeLessThanOrEqual(6 * MANY);
});

test('no link between entries is taken for silent while both sides are there', async () => {
  const batchCase = await BatchCase.open({ entries: 3, sidecars: 0 });
  await batchCase.timer.advance(2_000);
  batchCase.network.resetCounts();
  await batchCase.timer.advance(60_000);
  expect(batchCase.entries.map((entry) => entry.entryLinkCount)).toEqual([2, 2, 2]);
  expect(batchCase.network.messageCounts().dial ?? 0).toBe(0);
});

test('an entry whose link to another has ended is linked to it again, whoever dialled', async () => {
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

test('the next in a ring go round its end', () => {
  const names = ['a', 'b', 'c', 'd', 'e'];
  expect([...ringSuccessors('d', names, 3)]).toEqual(['e', 'a', 'b']);
});
