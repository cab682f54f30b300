import { expect, test, vi } from 'vitest';
import drawRecording from '../../tools/replay/drawRecording';
import draws from '../../tools/replay/draws';
import policies from '../../tools/replay/policies';
import Replay from '../../tools/replay/Replay';
import type Tally from '../../tools/replay/Tally';

// A replay takes some seconds of processor time, and longer on a busy machine.
vi.setConfig({ testTimeout: 180_000 });

/** The four seconds of the recording in which demand is 130% of the capacity, ms. */
const SHORTAGE_FROM_MS = 3_000;
const SHORTAGE_UNTIL_MS = 7_000;

/** After a shortage, callers have to be served as before it within this time, ms. */
const RECOVERY_MS = 1_000;

/** Share of the capacity that has to go into answers within their latency target during the shortage. */
const MIN_GOODPUT = 0.9;

/** Share of callers that are answered within their latency target at 60% of the capacity. */
const MIN_ON_TIME = 0.99;

/** Shortest latency target, on average, in the queue that is refused most, ms: refusals should arrive by then. */
const MAX_REFUSAL_MS = 450;

type Answers = Tally['answers'];

const within = (answers: Answers, fromMs: number, untilMs: number): Answers =>
  answers.filter(({ atMs }) => atMs >= fromMs && atMs < untilMs);

const workOf = ({ batch }: Answers[number]): number =>
  batch.cpuMilli * batch.tasksMs.reduce((sum, ms) => sum + ms, 0);

// Guards against answering all callers late instead of some on time, which leaves a backlog after the shortage: from one to
// two seconds after it, 97, 92 and 96% of callers met their latency target (seeds 7, 8, 9), where all do without a
// backlog, and half of the refused callers were refused only after 1,050 ms.
test.each([7, 8, 9])(
  'callers are served as before one second after a shortage of four seconds, seed %i',
  async (seed) => {
    const recording = drawRecording({ ...draws.shortage!, seed });
    const { answers } = await Replay.run(recording, policies.refusing!);
    const onTime = within(answers, SHORTAGE_FROM_MS, SHORTAGE_UNTIL_MS).filter(
      (answer) => answer.isOnTime,
    );
    const capacityMilli = recording.backends.reduce((sum, { cpuMilli }) => sum + cpuMilli, 0);
    const onTimeWork = onTime.reduce((sum, answer) => sum + workOf(answer), 0);
    const after = within(answers, SHORTAGE_UNTIL_MS + RECOVERY_MS, Infinity);
    const refused = answers
      .filter(({ ending }) => ending === 'refused')
      .map(({ tookMs }) => tookMs);
    const medianMs = refused.sort((a, b) => a - b)[Math.floor(refused.length / 2)]!;
    expect(
      onTimeWork / capacityMilli / (SHORTAGE_UNTIL_MS - SHORTAGE_FROM_MS),
    ).toBeGreaterThanOrEqual(MIN_GOODPUT);
    expect(after.filter(({ isOnTime }) => isOnTime).length / after.length).toBeGreaterThan(
      MIN_ON_TIME,
    );
    expect(medianMs).toBeLessThan(MAX_REFUSAL_MS);
  },
);
