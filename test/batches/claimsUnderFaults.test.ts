import { expect, test } from 'vitest';
import DuplicatesCase from '../support/DuplicatesCase';

// Entries that were cut off from each other ran the same batch: each was a majority of those it could reach.
test.each([
  [1, 'no fault', []],
  [2, 'entries that end', ['kill']],
  [3, 'entries that are cut off from each other', ['cut']],
  [4, 'late messages', ['delay']],
  [5, 'lost messages', ['loss']],
  [6, 'all of them', ['kill', 'cut', 'delay']],
] as const)(
  'a task does not run twice at once whenever its batch is sent again, seed %i, %s',
  async (seed, _name, faults) => {
    const copies = await DuplicatesCase.run(seed, faults);
    expect([copies.batchCase.maxConcurrentRuns, copies.unanswered]).toEqual([1, []]);
    expect(copies.completed).toBeGreaterThan(20);
  },
);
