import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import ClaimRegistry from '../../src/claims/ClaimRegistry';
import claimLimits from '../../src/claims/claimLimits';
import { BatchHolderSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import ManualTimer from '../support/ManualTimer';

// The claim of a batch that waited long was evicted as the oldest one, although most of the others
// had ended.
test('the claim of a batch with a long wait is kept while those of many short ones come and go', async () => {
  const timer = ManualTimer.create();
  const register = ClaimRegistry.create(timer, () => false);
  const [one, other] = ['a', 'b'].map((name) =>
    create(BatchHolderSchema, { instance: name, incarnation: name, claim: 1 }),
  );
  register.claim('long', one!, 60_000, []);
  for (let number = 0; number <= claimLimits.maxRecords; number += 1) {
    if (number % 100 === 0) await timer.advance(150);
    register.claim(`short ${number}`, one!, 2_000, []);
  }
  expect(register.claim('long', other!, 60_000, [])).toEqual(one);
});
