import { expect, test } from 'vitest';
import drawRecording from '../../tools/replay/drawRecording';
import draws from '../../tools/replay/draws';
import policies from '../../tools/replay/policies';
import Replay from '../../tools/replay/Replay';

// One in a hundred batches crashes each backend server that starts it. Restarted without limit, these few took down a third
// of all starts with them; when all tasks that ran beside them were suspected equally, healthy batches failed.
test.each([7, 8, 9])(
  'only batches that crash backend servers fail, seed %i',
  async (seed) => {
    const recording = drawRecording({ ...draws.crashing!, seconds: 6, seed });
    const { answers } = await Replay.run(recording, policies.standard!);
    const failed = answers.filter(({ ending }) => ending === 'other');
    expect(failed.length).toBe(recording.crashing!.batches.length);
  },
  30_000,
);
