import { expect, test, vi } from 'vitest';
import describeReplay from '../../tools/replay/describeReplay';
import drawRecording from '../../tools/replay/drawRecording';
import draws from '../../tools/replay/draws';
import formatRecording from '../../tools/replay/formatRecording';
import plotOutcomes from '../../tools/replay/plotOutcomes';
import policies from '../../tools/replay/policies';
import readRecording from '../../tools/replay/readRecording';
import Replay from '../../tools/replay/Replay';
import replayIdeal from '../../tools/replay/replayIdeal';
import errorOf from '../support/errorOf';
import valueOf from '../support/valueOf';

// A replay takes a second or two of processor time, and longer on a busy machine.
vi.setConfig({ testTimeout: 90_000 });

const short = (name: keyof typeof draws) => drawRecording({ ...draws[name]!, seconds: 2 });

test('a formatted recording is parsed back unchanged', () => {
  const recording = short('trouble');
  expect(valueOf(readRecording(formatRecording(recording)))).toEqual(recording);
});

test('the error names a line that is not a batch', () => {
  const text = `${formatRecording({ ...short('calm'), batches: [] })}[1, 2]\n`;
  expect(errorOf(readRecording(text))).toBe('line 2: not a batch');
});

test('the same recording and policy give the same result', async () => {
  const recording = short('worst');
  const once = await Replay.run(recording, policies.standard!);
  expect(await Replay.run(recording, policies.standard!)).toEqual(once);
});

test('under a calm load all batches meet their latency target', async () => {
  const { outcomes, wastedCoreSeconds } = await Replay.run(short('calm'), policies.standard!);
  expect([outcomes.at(-1)!.worth, wastedCoreSeconds]).toEqual([1, 0]);
});

test('a plot has a group of bars for each policy', async () => {
  const outcomes = replayIdeal(short('calm'));
  const svg = plotOutcomes([
    { name: 'one', outcomes },
    { name: 'two', outcomes },
  ]);
  expect(svg.match(/<g /g)?.length).toBe(2);
});

// The snapshot shows any change of the decisions; replays of whole recordings show whether it is an improvement.
test.each(['trouble', 'worst'])('what the policies earn under %s', async (name) => {
  const recording = drawRecording({ ...draws[name]!, seconds: 3 });
  const standard = await Replay.run(recording, policies.standard!);
  const plain = await Replay.run(recording, policies.plain!);
  const table = [
    describeReplay('standard', standard.outcomes),
    describeReplay('plain', plain.outcomes),
    describeReplay('ideal', replayIdeal(recording)),
  ];
  expect(`\n${table.join('')}`).toMatchSnapshot();
});
