import fc from 'fast-check';
import { expect, it } from 'vitest';
import replayTrace from './replayTrace';
import randomTraces from './randomTraces';

const seed = Number(process.env.INTERLEAVE_SEED ?? 4);
const numRuns = Number(process.env.INTERLEAVE_RUNS ?? 40);

it(
  `keeps the promises in ${numRuns} random interleavings of seed ${seed}`,
  { timeout: 0 },
  async () => {
    const holds = fc.asyncProperty(randomTraces, async (trace) => {
      expect((await replayTrace(trace)).broken).toEqual([]);
    });
    await fc.assert(holds, { seed, numRuns, endOnFailure: numRuns > 40 });
  },
);
