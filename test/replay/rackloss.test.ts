import { expect, test } from 'vitest';
import drawRecording from '../../tools/replay/drawRecording';
import draws from '../../tools/replay/draws';
import policies from '../../tools/replay/policies';
import Replay from '../../tools/replay/Replay';

// A sixth of the backend servers loses power at three quarters of the capacity. When all tasks that ran there were
// suspected of the crashes, each was kept apart, one suspect per backend server: some hundred start requests were refused
// since another suspect ran there (140, 72 and 253 in ten seconds), and 150, 10 and 26 callers missed their latency target.
test.each([7, 8, 9])(
  'fewer callers miss their latency target after a power loss if its tasks are not suspected, seed %i',
  async (seed) => {
    const recording = drawRecording({ ...draws.rackloss!, seconds: 4, seed });
    const [standard, suspecting] = await Promise.all([
      missedTargets('standard'),
      missedTargets('suspecting'),
    ]);
    expect(standard).toBeLessThan(suspecting);

    async function missedTargets(policy: string): Promise<number> {
      const { answers } = await Replay.run(recording, policies[policy]!);
      return answers.filter(({ isOnTime }) => !isOnTime).length;
    }
  },
  90_000,
);
