import { expect, test } from 'vitest';
import type Batch from '../../src/batches/Batch';
import type BatchTask from '../../src/batches/BatchTask';
import type CrashedRun from '../../src/batches/CrashedRun';
import attributeCrashes from '../../src/batches/attributeCrashes';

/**
 * The excused runs among those written as "SIDECAR BATCH", with "again" if the task was at an
 * earlier crash.
 */
function excusedOf(...written: readonly string[]): readonly string[] {
  const names = [...new Set(written.map((run) => run.split(' ')[1]!))];
  const batches = new Map(names.map((id) => [id, { id } as Batch]));
  const runs = written.map((run): CrashedRun => {
    const [sidecar, batch, again] = run.split(' ');
    const at = 0;
    const isFirst = again === undefined;
    return { sidecar: sidecar!, batch: batches.get(batch!)!, task: {} as BatchTask, at, isFirst };
  });
  return attributeCrashes(runs).excused.map(({ batch, sidecar }) => `${sidecar} ${batch.id}`);
}

test.each([
  ['a crash of one backend server', ['s1 a', 's1 b'], []],
  ['two backend servers, which two tasks may have crashed', ['s1 a', 's2 b', 's2 c'], []],
  ['three at the same time', ['s1 a', 's1 b', 's2 c', 's3 d'], ['s1 a', 's1 b', 's2 c', 's3 d']],
  ['attempts of one task', ['s1 p', 's1 a', 's2 p again', 's2 b', 's3 p again', 's3 c'], []],
  ['attempts of two tasks', ['s1 p', 's2 q', 's2 a', 's3 p again', 's3 b', 's4 q again'], []],
  [
    'a task that was at an earlier crash',
    ['s1 a', 's2 b', 's3 c', 's3 d', 's4 q again'],
    ['s1 a', 's2 b', 's3 c', 's3 d'],
  ],
  [
    'a batch of which each task crashes one backend server',
    ['s1 p', 's2 p', 's2 a', 's3 p', 's3 b'],
    ['s2 a', 's3 b'],
  ],
  [
    'such a batch during a power loss',
    ['s1 a', 's1 p', 's2 b', 's3 c', 's4 p', 's4 d'],
    ['s1 a', 's2 b', 's3 c', 's4 d'],
  ],
])('runs excused after %s', (_what, runs, excused) => {
  expect(excusedOf(...runs)).toEqual(excused);
});
