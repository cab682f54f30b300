import { expect, it } from 'vitest';
import type Attempt from '../../tools/chaos/Attempt';
import checkJournal from '../../tools/chaos/checkJournal';
import type Start from '../../tools/chaos/Start';
import type Work from '../../tools/chaos/Work';

const tried = (
  sentAt: number,
  endedAt: number,
  outcome: string,
  outputs: unknown[] = [],
): Attempt => ({
  ...{ entry: 'entry-1', action: 'submit', sentAt, endedAt, outcome, outputs },
  ...{ reason: '', retryAfterMs: 0 },
});

const start = (at: number, index = 0): Start => ({
  ...{ backend: 'backend-1', task: `key/${index}/0`, id: 'a', index, at },
});

const own = [{ id: 'a', n: 0 }];

function broken(attempts: Attempt[], starts: Start[], changes: Partial<Work> = {}): string[] {
  const final = attempts.at(-1)?.outcome;
  const work: Work = {
    ...{ id: 'a', kind: 'job', keyed: true, idempotent: false, taskMs: [1], madeAt: 0 },
    ...{ attempts, final, finalAt: 9, ...changes },
  };
  const { broken: found } = checkJournal({ works: [work], starts, disruptions: [], crashes: [] });
  return Object.entries(found).flatMap(([promise, cases]) => cases.map(() => promise));
}

it.each<[string, string[], Attempt[], Start[], Partial<Work>?]>([
  ['one start and its answer', [], [tried(0, 5, 'completed', own)], [start(1)]],
  ['a second start', ['doubled'], [tried(0, 5, 'completed', own)], [start(1), start(2)]],
  [
    'a second start of a retryable request',
    [],
    [tried(0, 5, 'completed', own)],
    [start(1), start(2)],
    { idempotent: true },
  ],
  ['no final answer', ['lost'], [tried(0, 5, 'pending')], [start(1)], { final: undefined }],
  ['not run after a start', ['falseNotRun'], [tried(0, 5, 'not-run')], [start(1)]],
  [
    'not run, asked again and run',
    [],
    [tried(0, 5, 'not-run'), tried(6, 9, 'completed', own)],
    [start(7)],
  ],
  ['a start after not run', ['falseNotRun'], [tried(0, 5, 'not-run')], [start(7)]],
  [
    'not run for one of two that ask at once',
    [],
    [tried(0, 5, 'not-run'), tried(1, 9, 'completed', own)],
    [start(3)],
  ],
  [
    'not run for what had run before it was asked',
    ['falseNotRun'],
    [tried(0, 4, 'broken'), tried(5, 9, 'not-run')],
    [start(3)],
  ],
  ['a partial answer', ['wrongAnswers'], [tried(0, 5, 'completed')], [start(1)]],
  [
    'the answer to another job',
    ['wrongAnswers'],
    [tried(0, 5, 'completed', [{ id: 'b', n: 0 }])],
    [start(1)],
  ],
  ['an answer without a start', ['wrongAnswers'], [tried(0, 5, 'completed', own)], []],
  ['a failure without a cause', ['unexpectedAnswers'], [tried(0, 5, 'failed')], [start(1)]],
])('%s', (_name, expected, attempts, starts, changes) => {
  expect(broken(attempts, starts, changes)).toEqual(expected);
});
