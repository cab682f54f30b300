import { expect, test } from 'vitest';
import { Role } from '../../src/gen/magnoliakeel/v1/peer_pb';
import BatchCase from '../support/BatchCase';

// An entry that was isolated abruptly was still counted as linked 22 and 27 s later
// ("linked_entries" 3 instead of 2 at 28 and at 33 s): a link that the peer had dialled ended only
// with its connection. Until then each configuration was queued for it, and its address was sent to
// all sidecars.
test('a link over which another entry sends nothing any more is closed', async () => {
  const batchCase = await BatchCase.open({ entries: 1, sidecars: 0 });
  const { timer, entries } = batchCase;
  await batchCase.dial('x', Role.ENTRY);
  const counts: number[] = [];
  for (let seconds = 0; seconds < 30; seconds += 10) {
    await timer.advance(10_000);
    counts.push(entries[0]!.entryLinkCount);
  }
  expect(counts).toEqual([1, 1, 0]);
});

test('entries without news for each other keep their links', async () => {
  const { timer, entries } = await BatchCase.open({ entries: 2, sidecars: 0 });
  const before = entries.map(({ entryLinkCount }) => entryLinkCount);
  await timer.advance(120_000);
  expect(entries.map(({ entryLinkCount }) => entryLinkCount)).toEqual(before);
});
