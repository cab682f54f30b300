import { expect, test } from 'vitest';
import standardPolicy from '../../src/batches/standardPolicy';
import withReserve from '../../src/batches/withReserve';
import BatchCase from '../support/BatchCase';

const lessUrgent = { queue: { priority: 3 }, ms: 2_000 };

/**
 * Backend servers with capacity for four tasks, of which this many, one by default, are reserved
 * for queues of priority 0.
 */
function open(reservedTasks = 1): Promise<BatchCase> {
  const policy = withReserve(standardPolicy, { cpuMilli: 4_000 * reservedTasks, urgentBelow: 1 });
  return BatchCase.open({ policy });
}

async function submitMany(batchCase: BatchCase): Promise<void> {
  Array.from({ length: 9 }, (_, number) => batchCase.submit(`lowly${number}`, lessUrgent));
  await batchCase.timer.advance(100);
}

test('less urgent batches leave the reserve free, and an urgent one starts in it immediately', async () => {
  const batchCase = await open();
  await submitMany(batchCase);
  const before = batchCase.running.length;
  batchCase.submit('urgent');
  await batchCase.timer.advance(20);
  expect([before, batchCase.running.includes('urgent.0.0')]).toEqual([6, true]);
});

test('without a reserve less urgent batches use all capacity', async () => {
  const batchCase = await open(0);
  await submitMany(batchCase);
  expect(batchCase.running.length).toBe(8);
});

test('a started batch may use the reserve', async () => {
  const batchCase = await open();
  batchCase.submit('wide', { ...lessUrgent, tasks: 8 });
  await batchCase.timer.advance(50);
  expect(batchCase.running.length).toBe(8);
});

test('a reserve that leaves too little capacity for a task does not block it for ever', async () => {
  const batchCase = await open(4);
  batchCase.submit('lowly', lessUrgent);
  await batchCase.timer.advance(50);
  expect(batchCase.running.length).toBe(1);
});
