import { expect, test, vi } from 'vitest';
import drawRecording from '../../tools/replay/drawRecording';
import draws from '../../tools/replay/draws';
import policies from '../../tools/replay/policies';
import Replay from '../../tools/replay/Replay';

// A replay takes some seconds of processor time, and longer on a busy machine.
vi.setConfig({ testTimeout: 180_000 });

/** When the burst of the recording ends, ms from the start of the load. */
const BURST_ENDS_MS = 7_000;

/** After a burst, callers have to be served as before it within this time, ms. */
const RECOVERY_MS = 3_000;

/** Share of callers that have to be answered within their latency target then, as under a calm load. */
const MIN_ON_TIME = 0.9;

// Five entries with an eighth of a core each were overloaded in a burst and did not recover: seven seconds after its end,
// a third of all batches met their latency target (seed 7, by seconds from 8 to 13: 32 of 91, 33 of 88, 44 of 102, 37 of
// 103, 27 of 99, 42 of 88). Work queued for an entry's processor delays its pulses, so its sidecars presume it dead and
// stop its runs, which the entry then dispatches again.
test.each([7, 8, 9, 11, 12])(
  'entries short of processor time recover after a burst, seed %i',
  async (seed) => {
    const recording = drawRecording({ ...draws.starved!, seed });
    const { answers } = await Replay.run(recording, policies.standard!);
    const after = answers.filter(({ atMs }) => atMs >= BURST_ENDS_MS + RECOVERY_MS);
    const onTime = after.filter(({ isOnTime }) => isOnTime);
    expect(onTime.length / after.length).toBeGreaterThanOrEqual(MIN_ON_TIME);
  },
);
