import { expect, test } from 'vitest';
import type BatchPolicy from '../../src/batches/BatchPolicy';
import standardPolicy from '../../src/batches/standardPolicy';
import BatchCase from '../support/BatchCase';

/**
 * Submits a batch whose placement fails, and one that waits with it; returns the answers and the
 * running tasks.
 */
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

// All batches that wait at an entry are placed in one pass. An error in one of them ended the pass
// each time, so none of them got capacity until that batch's time was over.
test('an error in computing the urgency of a batch does not keep others from being placed', async () => {
  const urgency: BatchPolicy['urgency'] = (batch, now) => {
    if (batch.id === 'bad') throw new Error('a fault');
    return standardPolicy.urgency(batch, now);
  };
  expect(await submitBoth({ urgency })).toEqual({ answers, running: ['good.0.0', 'good.0.1'] });
});

test('runs that were dispatched before an error in placing their batch are stopped', async () => {
  const choose: BatchPolicy['choose'] = (choice) => {
    if (choice.batch.id === 'bad' && choice.task.index === 1) throw new Error('a fault');
    return standardPolicy.choose(choice);
  };
  expect(await submitBoth({ choose })).toEqual({ answers, running: ['good.0.0', 'good.0.1'] });
});
