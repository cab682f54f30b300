import { expect, test } from 'vitest';
import BatchCase from '../support/BatchCase';

// A duplicate of a submission may arrive seconds after the answer to the first, at any entry. After
// its caller had cancelled the batch, the duplicate was accepted and ran from the start, although
// no caller waited for it.
test('a cancelled batch does not run when a duplicate submission arrives', async () => {
  const batchCase = await BatchCase.open();
  batchCase.submit('a', { tasks: 2, ms: 5_000 });
  await batchCase.timer.advance(50);
  batchCase.entries[0]!.cancel('a');
  await batchCase.timer.advance(60);
  const duplicates = [0, 1].map((entry) => batchCase.submit('a', { entry, tasks: 2, ms: 5_000 }));
  await batchCase.timer.advance(100);
  expect([duplicates.map(({ answer }) => answer?.kind), batchCase.running]).toEqual([
    ['cancelled', 'cancelled'],
    [],
  ]);
});

// Callers' requests are spread over the entries, including cancellations: one reached an entry that
// did not know the batch, which answered so, and the batch kept running at the other entry.
test('a batch can be cancelled at any entry', async () => {
  const batchCase = await BatchCase.open();
  const caller = batchCase.submit('a', { entry: 0, tasks: 2, ms: 5_000 });
  await batchCase.timer.advance(50);
  expect(await batchCase.entries[1]!.cancel('a')).toBe('absent');
  await batchCase.timer.advance(60);
  expect([caller.answer, batchCase.running]).toEqual([{ kind: 'cancelled' }, []]);
});

test('a cancelled id can be used again once no duplicate is to be expected', async () => {
  const batchCase = await BatchCase.open();
  batchCase.entries[0]!.cancel('a');
  await batchCase.timer.advance(120_000);
  const caller = batchCase.submit('a', { ms: 50 });
  await batchCase.timer.advance(200);
  expect(caller.answer).toEqual({ kind: 'completed' });
});

test('a batch that was cancelled while its entry was partitioned from the others ends once it is linked again', async () => {
  const batchCase = await BatchCase.open();
  const { network, timer, entries } = batchCase;
  batchCase.configure(1, 1);
  const caller = batchCase.submit('a', { ms: 8_000 });
  await timer.advance(50);
  network.partition('e0', 'e1');
  entries[1]!.cancel('a');
  await timer.advance(100);
  network.heal('e0', 'e1');
  await timer.advance(1_000);
  expect([caller.answer, batchCase.running]).toEqual([{ kind: 'cancelled' }, []]);
});

test('a duplicate of a cancelled batch does not run at an entry that has started since', async () => {
  const batchCase = await BatchCase.open();
  const { network, timer, entries } = batchCase;
  batchCase.configure(1, 1);
  entries[1]!.cancel('a');
  network.kill('e0');
  await batchCase.addEntry(0);
  batchCase.configure(1, 0);
  await timer.advance(1_000);
  const duplicate = batchCase.submit('a', { ms: 8_000 });
  await timer.advance(50);
  expect([duplicate.answer, batchCase.running]).toEqual([{ kind: 'cancelled' }, []]);
});
