import { expect, test } from 'vitest';
import { Role } from '../../src/gen/magnoliakeel/v1/peer_pb';
import BatchCase from '../support/BatchCase';

// Entries of a version that does not answer claims counted as registrars, so the first entries of
// the next version refused all batches.
test('an entry among others of a version without claims serves a batch immediately', async () => {
  const batchCase = await BatchCase.open({ entries: 1 });
  await batchCase.dial('e7', Role.ENTRY);
  await batchCase.dial('e8', Role.ENTRY);
  await batchCase.timer.advance(100);
  const x = batchCase.submit('x');
  await batchCase.timer.advance(200);
  expect(x.answer).toEqual({ kind: 'completed' });
});
