import { expect, test, vi } from 'vitest';
import drawRecording from '../../tools/replay/drawRecording';
import draws from '../../tools/replay/draws';
import policies from '../../tools/replay/policies';
import Replay from '../../tools/replay/Replay';

// A replay takes some seconds of processor time, and longer on a busy machine.
vi.setConfig({ testTimeout: 120_000 });

/** The duration ratios of backend servers are known by then, ms from the start of the load. */
const RATIOS_KNOWN_MS = 2_000;

/** Share of callers that have to be answered within their latency target if there is capacity for all of them. */
const MIN_ON_TIME = 0.95;

/** Index of the queue with the longest requests. */
const LONG_QUEUE = 1;

/** Share of the long requests that meet their latency target, without long-tail tasks, which can't meet it. */
async function longOnTimeShare(draw: keyof typeof draws, seed: number): Promise<number> {
  const { tail, ...rest } = draws[draw]!;
  const recording = drawRecording({ ...rest, seed });
  const { answers } = await Replay.run(recording, policies.standard!);
  const long = answers.filter(({ atMs, queue }) => atMs >= RATIOS_KNOWN_MS && queue === LONG_QUEUE);
  return long.filter(({ isOnTime }) => isOnTime).length / long.length;
}

// A third of the backend servers took 2.4 times as long as the others but received as much work, so a fifth of the long
// requests missed their latency target although the fast ones had capacity for all of them.
test.each([7, 8, 9])(
  'long requests are answered in their aim though a third of the machines is slow, seed %i',
  async (seed) => {
    expect(await longOnTimeShare('twospeed', seed)).toBeGreaterThanOrEqual(MIN_ON_TIME);
  },
);
