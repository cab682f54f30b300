import { expect, test } from 'vitest';
import BatchCase from '../support/BatchCase';

// Requests were not answered at their deadline: the answer waited for the runs of an earlier batch
// of the same id.
test('a batch that waits for the runs of an earlier one is answered at its deadline', async () => {
  const batchCase = await BatchCase.open({ entries: 1, sidecars: 1 });
  const first = batchCase.submit('x', { ms: 5_000 });
  await batchCase.timer.advance(100);
  batchCase.network.blackhole('e0', 's0');
  first.gone.abort();
  const second = batchCase.submit('x', { waitMs: 500 });
  await batchCase.timer.advance(600);
  expect(second.answer).toMatchObject({ kind: 'not-run' });
});
