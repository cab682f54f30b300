import { expect, test } from 'vitest';
import BatchCase from '../support/BatchCase';
import valueOf from '../support/valueOf';

// A caller's DELETE was acknowledged, the entry that took it was restarted as planned, and 7 s later a delayed copy of
// the submission reached it: the new process accepted the batch and ran it. Both other entries knew of the
// cancellation, and had linked to the new process 0.6 s after the DELETE without passing it on, since an entry passed
// on only what it had been asked for itself.

/** Kills the process of an entry; it makes no more calls to the store either. */
function kill({ network, entries }: BatchCase, entry: number): void {
  network.kill(`e${entry}`);
  entries[entry]!.close().catch(() => undefined);
}

/** Kills the process of an entry and starts the next one, which gets the configuration from the store. */
async function restart(batchCase: BatchCase, entry: number): Promise<void> {
  kill(batchCase, entry);
  await batchCase.timer.advance(300);
  await batchCase.addEntry(entry);
  batchCase.configure(1, entry);
  await batchCase.timer.advance(700);
}

/** How a copy of a batch is answered at an entry, and whether it runs. */
async function sendCopy(batchCase: BatchCase, entry: number) {
  const copy = batchCase.submit('a', { entry, ms: 8_000 });
  await batchCase.timer.advance(150);
  return [copy.answer?.kind, batchCase.running];
}

/** The ids of cancelled batches in each of their keys in the store. */
async function storedIds({ store }: BatchCase): Promise<readonly string[][]> {
  const { items } = valueOf(await store.list('cancelled/'));
  return items.map(({ value }) => JSON.parse(value) as string[]);
}

test('a cancelled batch does not run at the entry that cancelled it and was restarted since', async () => {
  const batchCase = await BatchCase.open({ entries: 3 });
  await batchCase.entries[0]!.cancel('a');
  await batchCase.timer.advance(60);
  await restart(batchCase, 0);
  await batchCase.timer.advance(7_000);
  expect(await sendCopy(batchCase, 0)).toEqual(['cancelled', []]);
});

// Entries passed on the cancellations of the last 10 s, though they promise 120 s.
test('a cancelled batch does not run at an entry that was restarted 30 s later', async () => {
  const batchCase = await BatchCase.open({ entries: 3 });
  await batchCase.entries[0]!.cancel('a');
  await batchCase.timer.advance(30_000);
  await restart(batchCase, 1);
  expect(await sendCopy(batchCase, 1)).toEqual(['cancelled', []]);
});

test('a cancelled batch does not run after all entries were restarted in turn', async () => {
  const batchCase = await BatchCase.open({ entries: 3 });
  await batchCase.entries[0]!.cancel('a');
  await batchCase.timer.advance(60);
  for (const entry of [0, 1, 2]) await restart(batchCase, entry);
  const copies = [];
  for (const entry of [0, 1, 2]) copies.push(await sendCopy(batchCase, entry));
  expect(copies).toEqual(Array(3).fill(['cancelled', []]));
});

// All processes can be lost at the same moment, right after the DELETE was acknowledged.
test('a cancelled batch does not run after all entries were restarted at once', async () => {
  const batchCase = await BatchCase.open({ entries: 3, hasStore: true });
  await batchCase.entries[0]!.cancel('a');
  [0, 1, 2].forEach((entry) => kill(batchCase, entry));
  for (const entry of [0, 1, 2]) await batchCase.addEntry(entry);
  batchCase.configure(1, 2);
  await batchCase.timer.advance(1_000);
  expect(await sendCopy(batchCase, 2)).toEqual(['cancelled', []]);
});

test('a copy that reaches a restarted entry before it has read the stored cancellations waits for them', async () => {
  const batchCase = await BatchCase.open({ entries: 1, hasStore: true });
  const { timer, store } = batchCase;
  await batchCase.entries[0]!.cancel('a');
  kill(batchCase, 0);
  store.setFaults({ slowMs: 200 });
  await batchCase.addEntry(0);
  batchCase.configure(1, 0);
  await timer.advance(50);
  const copy = batchCase.submit('a', { ms: 8_000 });
  await timer.advance(250);
  expect([copy.answer?.kind, batchCase.running]).toEqual(['cancelled', []]);
});

test('an entry runs batches a second after its start though the store cannot be read', async () => {
  const batchCase = await BatchCase.open({ entries: 1, hasStore: true });
  kill(batchCase, 0);
  batchCase.store.setFaults({ down: true });
  await batchCase.addEntry(0);
  batchCase.configure(1, 0);
  await batchCase.timer.advance(50);
  const caller = batchCase.submit('b', { ms: 100 });
  await batchCase.timer.advance(1_600);
  expect(caller.answer).toEqual({ kind: 'completed' });
});

test('a cancellation is acknowledged once it is stored', async () => {
  const batchCase = await BatchCase.open({ entries: 1, hasStore: true });
  const { timer, store } = batchCase;
  store.setFaults({ slowMs: 200 });
  const stored: number[] = [];
  batchCase.entries[0]!.cancel('a').then(async () => {
    stored.push((await storedIds(batchCase)).length);
  });
  await timer.advance(390);
  const before = [...stored];
  await timer.advance(100);
  expect([before, stored]).toEqual([[], [1]]);
});

// What was acknowledged while the store was down was lost with all entries, soon after the store was back.
test('a cancellation is not acknowledged while it cannot be stored, and is stored later', async () => {
  const batchCase = await BatchCase.open({ entries: 1, hasStore: true });
  const { timer, store } = batchCase;
  store.setFaults({ down: true });
  const outcomes: string[] = [];
  batchCase.entries[0]!.cancel('a').then((outcome) => outcomes.push(outcome));
  await timer.advance(5_000);
  store.setFaults({});
  await timer.advance(2_000);
  expect([outcomes, await storedIds(batchCase)]).toEqual([['unstored'], [['a']]]);
});

test('cancellations that come together are stored with few calls, and are removed after their time', async () => {
  const batchCase = await BatchCase.open({ entries: 1, hasStore: true });
  const { timer, store } = batchCase;
  const ids = Array.from({ length: 300 }, (_, number) => `job-${number}`);
  for (const id of ids) {
    batchCase.entries[0]!.cancel(id);
    await timer.advance(10);
  }
  await timer.advance(200);
  const { length } = (await storedIds(batchCase)).flat();
  const { put, grantLease } = store.calls().e0!;
  await timer.advance(180_000);
  expect([length, put, grantLease, await storedIds(batchCase)]).toMatchInlineSnapshot(`
    [
      300,
      31,
      1,
      [],
    ]
  `);
});

// Each entry that passed a cancellation on would else keep it for another two minutes.
test('a cancelled id can be used again after 120 s though entries have passed it on', async () => {
  const batchCase = await BatchCase.open({ entries: 3 });
  await batchCase.entries[0]!.cancel('a');
  for (const entry of [0, 1, 2]) {
    await batchCase.timer.advance(30_000);
    await restart(batchCase, entry);
  }
  await batchCase.timer.advance(28_000);
  const caller = batchCase.submit('a', { entry: 1, ms: 50 });
  await batchCase.timer.advance(200);
  expect(caller.answer).toEqual({ kind: 'completed' });
});

test('a restarted entry is sent what others were asked for by its predecessors only', async () => {
  const batchCase = await BatchCase.open({ entries: 8, sidecars: 0 });
  await batchCase.entries[0]!.cancel('a');
  await batchCase.timer.advance(60);
  batchCase.network.resetCounts();
  await restart(batchCase, 0);
  expect(batchCase.network.messageCounts().batchCancelled).toBe(4);
});

test('stored cancellations survive an answer that was lost and a lease that was revoked', async () => {
  const batchCase = await BatchCase.open({ entries: 1, hasStore: true });
  const { timer, store } = batchCase;
  await batchCase.entries[0]!.cancel('a');
  await timer.advance(200);
  store.setFaults({ answerLost: true });
  batchCase.entries[0]!.cancel('b');
  await timer.advance(2_000);
  store.setFaults({});
  await timer.advance(2_000);
  await store.revokeLease('lease-1');
  batchCase.entries[0]!.cancel('c');
  await timer.advance(2_000);
  const ids = new Set((await storedIds(batchCase)).flat());
  expect([...ids].sort()).toEqual(['a', 'b', 'c']);
});

// While the store was down, a caller cancelled a batch at one entry, which was killed before the store was back. The
// others knew of it, but only the entry that was asked stored it, and later all of them were lost.
test('a cancellation that its entry could not store is stored by its next process', async () => {
  const batchCase = await BatchCase.open({ entries: 3, hasStore: true });
  const { store, timer } = batchCase;
  store.setFaults({ down: true });
  await Promise.all([batchCase.entries[0]!.cancel('a'), timer.advance(3_100)]);
  await restart(batchCase, 0);
  store.setFaults({});
  await timer.advance(2_000);
  [0, 1, 2].forEach((entry) => kill(batchCase, entry));
  for (const entry of [0, 1, 2]) await batchCase.addEntry(entry);
  batchCase.configure(1, 2);
  await timer.advance(1_000);
  expect(await sendCopy(batchCase, 2)).toEqual(['cancelled', []]);
});

test('an entry that is restarted does not store again what is stored', async () => {
  const batchCase = await BatchCase.open({ entries: 3, hasStore: true });
  await batchCase.entries[0]!.cancel('a');
  await batchCase.timer.advance(200);
  await restart(batchCase, 1);
  await batchCase.timer.advance(2_000);
  expect(batchCase.store.calls().e1!.put).toBe(undefined);
});
