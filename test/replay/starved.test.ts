import { expect, test, vi } from 'vitest';
import drawRecording from '../../tools/replay/drawRecording';
import draws from '../../tools/replay/draws';
import policies from '../../tools/replay/policies';
import Replay from '../../tools/replay/Replay';

// A replay takes some seconds of processor time, and longer beside other busy processes.
vi.setConfig({ testTimeout: 180_000 });

/** When the burst of the recording ends, ms from the start of the load. */
const BURST_ENDS_MS = 7_000;

/** By then after a burst callers are to be served as before it, ms. */
const COMES_BACK_MS = 3_000;

/** Share of callers that are to be answered in their aim then, as on a calm day. */
const SERVED = 0.9;

// Five entries with an eighth of a core each went under in a burst and stayed there: seven seconds after
// its end a third of all batches were answered in their aim (seed 7, by seconds from 8 to 13: 32 of 91, 33 of
// 88, 44 of 102, 37 of 103, 27 of 99, 42 of 88). What waits for an entry's processor makes its pulses late, so
// its sidecars take it for dead and stop what it has ordered, and that is ordered again.
test.each([7, 8, 9, 11, 12])(
  'entries short of processor time come back after a burst, seed %i',
  async (seed) => {
    const recording = drawRecording({ ...draws.starved!, seed });
    const { answers } = await Replay.run(recording, policies.standard!);
    const after = answers.filter(({ atMs }) => atMs >= BURST_ENDS_MS + COMES_BACK_MS);
    const inAim = after.filter(({ isInAim }) => isInAim);
    expect(inAim.length / after.length).toBeGreaterThanOrEqual(SERVED);
  },
);
