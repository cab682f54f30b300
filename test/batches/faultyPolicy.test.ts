import { expect, test } from 'vitest';
import type BatchPolicy from '../../src/batches/BatchPolicy';
import standardPolicy from '../../src/batches/standardPolicy';
import BatchCase from '../support/BatchCase';

/** Submits a batch whose placing fails, and one that waits with it; returns what became of both. */
async function submitBoth(policy: Partial<BatchPolicy>) {
  const batchCase = await BatchCase.open({ entries: 1, policy: { ...standardPolicy, ...policy } });
  const callers = ['bad', 'good'].map((id) => batchCase.submit(id, { tasks: 2, ms: 200 }));
  await batchCase.timer.advance(100);
  const { running } = batchCase;
  await batchCase.timer.advance(300);
  return { answers: callers.map(({ answer }) => answer), running };
}

const answers = [
  { kind: 'unknown', reason: 'an error in placing its tasks' },
  { kind: 'completed' },
];

// All batches that wait at an entry are placed in one turn. An error in reckoning one of them ended the turn
// each time, so that none got room until that batch's time was over.
test('a batch whose urgency cannot be told keeps no other from being placed', async () => {
  const urgency: BatchPolicy['urgency'] = (batch, now) => {
    if (batch.id === 'bad') throw new Error('a fault');
    return standardPolicy.urgency(batch, now);
  };
  expect(await submitBoth({ urgency })).toEqual({ answers, running: ['good.0.0', 'good.0.1'] });
});

test('what was ordered of a batch before its placing failed is stopped', async () => {
  const choose: BatchPolicy['choose'] = (wish) => {
    if (wish.batch.id === 'bad' && wish.task.index === 1) throw new Error('a fault');
    return standardPolicy.choose(wish);
  };
  expect(await submitBoth({ choose })).toEqual({ answers, running: ['good.0.0', 'good.0.1'] });
});
