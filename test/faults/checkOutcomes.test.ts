import { expect, it } from 'vitest';
import type SimulationEvent from '../support/SimulationEvent';
import checkOutcomes from './checkOutcomes';

const start = (at: number, index = 0, attempt = 0): SimulationEvent => {
  const task = `k/${index}/${attempt}`;
  return { kind: 'started', at, id: 'j', index, task, on: 's1' };
};

const call = (at: number, number = 1, idempotent = false): SimulationEvent => ({
  kind: 'called',
  at,
  id: 'j',
  call: number,
  expected: ['j/0'],
  idempotent,
});

const answer = (
  at: number,
  outcome: string,
  outputs: string[] = [],
  number = 1,
): SimulationEvent => ({
  kind: 'answered',
  at,
  id: 'j',
  call: number,
  outcome,
  outputs,
  retryAfterMs: 0,
});

const done = (at: number, number = 1): SimulationEvent => answer(at, 'completed', ['j/0'], number);

it.each<[string, SimulationEvent[], string]>([
  ['a valid history', [call(0), start(1), done(2)], ''],
  ['a retried idempotent request', [call(0, 1, true), start(1), start(2, 0, 1), done(3)], ''],
  [
    'one attempt started twice',
    [call(0, 1, true), start(1), start(2), done(3)],
    'k/0/0 started twice',
  ],
  ['a task started twice', [call(0), start(1), start(2, 0, 1), done(3)], 'task 0 started twice'],
  [
    'not run after a start',
    [call(0), start(1), answer(2, 'not-run')],
    '"not run" at 2 after 1 starts',
  ],
  [
    'not run before a start',
    [call(0), answer(2, 'not-run'), start(3)],
    'started after the last answer, "not run"',
  ],
  [
    'not run, then started by another call',
    [call(0), answer(2, 'not-run'), call(3, 2), start(4), done(5, 2)],
    '',
  ],
  [
    'the result of another task',
    [call(0), start(1), answer(2, 'completed', ['x/0'])],
    'answer x/0',
  ],
  ['incomplete results', [call(0), start(1), answer(2, 'completed')], 'answer '],
  ['completed without a start', [call(0), done(2)], 'completed without all starts'],
  [
    'failed with results',
    [call(0), start(1), answer(2, 'failed', ['j/0'])],
    '"failed" with results',
  ],
  [
    'two different final answers',
    [call(0), start(1), done(2), call(3, 2), answer(4, 'failed', [], 2)],
    'different answers: completed j/0 | failed ',
  ],
  ['no answer', [call(0), start(1)], 'no answer to call 1'],
  ['a late answer', [call(0), start(1), done(200)], 'answered after 200 ms'],
])('%s', (_name, events, broken) => {
  expect(checkOutcomes(events, 100)).toEqual(broken ? [`j: ${broken}`] : []);
});
