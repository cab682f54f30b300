import { expect, test } from 'vitest';
import DuplicatesCase from '../support/DuplicatesCase';

// Entries that were partitioned from each other ran the same batch: each was a majority of those
// that it could reach.
test.each([
  [1, 'no fault', []],
  [2, 'killed entries', ['kill']],
  [3, 'partitioned entries', ['cut']],
  [4, 'delayed messages', ['delay']],
  [5, 'lost messages', ['loss']],
  [6, 'all of them', ['kill', 'cut', 'delay']],
] as const)(
  'a task does not run twice at the same time whenever its batch is resubmitted, seed %i, %s',
  async (seed, _name, faults) => {
    const duplicates = await DuplicatesCase.run(seed, faults);
    expect([duplicates.batchCase.maxConcurrentRuns, duplicates.unanswered]).toEqual([1, []]);
    expect(duplicates.completed).toBeGreaterThan(20);
  },
);
