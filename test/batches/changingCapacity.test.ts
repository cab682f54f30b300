import { expect, test } from 'vitest';
import Resources from '../../src/room/Resources';
import BatchCase from '../support/BatchCase';

/** The capacity for this many tasks. */
function capacityOf(tasks: number): Resources {
  return Resources.of({ cpuMilli: tasks * 4_000, memoryMb: 4_096 });
}

function shrinkTo(batchCase: BatchCase, tasks: number): void {
  const capacity = capacityOf(tasks);
  batchCase.sidecars[0]!.handleHeartbeat(batchCase.backends[0]!.nextHeartbeat({ capacity }));
}

test('entries use capacity that has grown while tasks run', async () => {
  const batchCase = await BatchCase.open({ sidecars: 1 });
  shrinkTo(batchCase, 1);
  await batchCase.timer.advance(50);
  batchCase.submit('a', { tasks: 4, ms: 1_000 });
  await batchCase.timer.advance(100);
  const before = batchCase.running.length;
  shrinkTo(batchCase, 4);
  await batchCase.timer.advance(20);
  expect([before, batchCase.running.length]).toEqual([1, 4]);
});

test('entries dispatch no tasks for which there is no capacity any more', async () => {
  const batchCase = await BatchCase.open({ sidecars: 1 });
  batchCase.submit('a', { tasks: 4, ms: 200 });
  await batchCase.timer.advance(50);
  shrinkTo(batchCase, 2);
  batchCase.submit('b', { tasks: 8, ms: 200 });
  await batchCase.timer.advance(900);
  const { starts, runningTasks: tasks } = batchCase.backends[0]!;
  expect([starts.length, tasks.length]).toEqual([12, 2]);
});

test('a batch is refused immediately if its task is larger than the reduced capacity', async () => {
  const batchCase = await BatchCase.open({ sidecars: 1 });
  await batchCase.timer.advance(3_000);
  batchCase.sidecars[0]!.handleHeartbeat(
    batchCase.backends[0]!.nextHeartbeat({
      capacity: Resources.of({ cpuMilli: 2_000, memoryMb: 64 }),
    }),
  );
  await batchCase.timer.advance(20);
  const refused = batchCase.submit('a');
  await batchCase.timer.advance(1);
  expect(refused.answer).toMatchObject({ kind: 'not-run' });
});
