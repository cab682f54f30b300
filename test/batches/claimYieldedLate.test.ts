import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import {
  BatchClaimedSchema,
  FollowBatchSchema,
  Outcome,
  Role,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import BatchCase from '../support/BatchCase';

// An entry ran a batch that it had just let another have: its last registrar's answer and the question were in one frame.
test('an entry that lets another have a batch does not run it, although its last answer has come', async () => {
  const batchCase = await BatchCase.open({ entries: 1 });
  const other = await batchCase.dial('d0', Role.ENTRY, true);
  const heard: Outcome[] = [];
  const reading = (async () => {
    for await (const message of other.messages()) {
      if (message.case === 'batchFollowed') heard.push(message.value.outcome);
      if (message.case === 'claimBatch') {
        const { batch, number } = message.value;
        const answer = create(BatchClaimedSchema, { number });
        const question = create(FollowBatchSchema, { batch, number: 1, claim: 1 });
        other.send({ case: 'batchClaimed', value: answer });
        other.send({ case: 'followBatch', value: question });
      }
    }
  })();
  await batchCase.timer.advance(1_000);
  batchCase.submit('x');
  await batchCase.timer.advance(60);
  expect([heard, batchCase.running]).toEqual([[Outcome.ABSENT], []]);
  other.close();
  await reading;
});
