import fc from 'fast-check';
import { expect, it } from 'vitest';
import replayTrace from './replayTrace';
import randomTraces from './randomTraces';

const seed = Number(process.env.INTERLEAVE_SEED ?? 4);
const numRuns = Number(process.env.INTERLEAVE_RUNS ?? 40);

it(
  `keeps the guarantees in ${numRuns} random interleavings of seed ${seed}`,
  { timeout: 0 },
  async () => {
    const property = fc.asyncProperty(randomTraces, async (trace) => {
      expect((await replayTrace(trace)).broken).toEqual([]);
    });
    await fc.assert(property, { seed, numRuns, endOnFailure: numRuns > 40 });
  },
);
