import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import {
  BatchClaimedSchema,
  FollowBatchSchema,
  Outcome,
  Role,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import BatchCase from '../support/BatchCase';

// An entry ran a batch that it had just yielded to another: the response of its last registrar and
// the other's follow request were in one frame.
test('an entry that yields a batch does not run it, although the last response to its claim has arrived', async () => {
  const batchCase = await BatchCase.open({ entries: 1 });
  const other = await batchCase.dial('d0', Role.ENTRY, true);
  const outcomes: Outcome[] = [];
  const reading = (async () => {
    for await (const message of other.messages()) {
      if (message.case === 'batchFollowed') outcomes.push(message.value.outcome);
      if (message.case === 'claimBatch') {
        const { batch, number } = message.value;
        const answer = create(BatchClaimedSchema, { number });
        const follow = create(FollowBatchSchema, { batch, number: 1, claim: 1 });
        other.send({ case: 'batchClaimed', value: answer });
        other.send({ case: 'followBatch', value: follow });
      }
    }
  })();
  await batchCase.timer.advance(1_000);
  batchCase.submit('x');
  await batchCase.timer.advance(60);
  expect([outcomes, batchCase.running]).toEqual([[Outcome.ABSENT], []]);
  other.close();
  await reading;
});
