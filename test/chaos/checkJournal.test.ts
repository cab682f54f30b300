import { expect, it } from 'vitest';
import type CallerAttempt from '../../tools/chaos/CallerAttempt';
import checkJournal from '../../tools/chaos/checkJournal';
import type ReportedStart from '../../tools/chaos/ReportedStart';
import type WorkItem from '../../tools/chaos/WorkItem';

const attempt = (
  sentAt: number,
  endedAt: number,
  outcome: string,
  outputs: unknown[] = [],
): CallerAttempt => ({
  ...{ entry: 'entry-1', action: 'submit', sentAt, endedAt, outcome, outputs },
  ...{ reason: '', retryAfterMs: 0 },
});

const start = (at: number, index = 0): ReportedStart => ({
  ...{ backend: 'backend-1', task: `key/${index}/0`, id: 'a', index, at },
});

const ownOutputs = [{ id: 'a', n: 0 }];

function brokenGuarantees(
  attempts: CallerAttempt[],
  starts: ReportedStart[],
  changes: Partial<WorkItem> = {},
): string[] {
  const finalOutcome = attempts.at(-1)?.outcome;
  const work: WorkItem = {
    ...{ id: 'a', kind: 'job', keyed: true, idempotent: false, taskMs: [1], createdAt: 0 },
    ...{ attempts, finalOutcome, finalAt: 9, ...changes },
  };
  const { broken: violations } = checkJournal({
    workItems: [work],
    starts,
    disruptions: [],
    crashes: [],
  });
  return Object.entries(violations).flatMap(([guarantee, cases]) => cases.map(() => guarantee));
}

it.each<[string, string[], CallerAttempt[], ReportedStart[], Partial<WorkItem>?]>([
  ['accepts one start and its answer', [], [attempt(0, 5, 'completed', ownOutputs)], [start(1)]],
  [
    'reports a second start',
    ['doubled'],
    [attempt(0, 5, 'completed', ownOutputs)],
    [start(1), start(2)],
  ],
  [
    'accepts a second start of an idempotent request',
    [],
    [attempt(0, 5, 'completed', ownOutputs)],
    [start(1), start(2)],
    { idempotent: true },
  ],
  [
    'reports a missing final answer',
    ['lost'],
    [attempt(0, 5, 'pending')],
    [start(1)],
    { finalOutcome: undefined },
  ],
  ['reports "not run" after a start', ['falseNotRun'], [attempt(0, 5, 'not-run')], [start(1)]],
  [
    'accepts "not run" for a work item that is resubmitted and run',
    [],
    [attempt(0, 5, 'not-run'), attempt(6, 9, 'completed', ownOutputs)],
    [start(7)],
  ],
  ['reports a start after "not run"', ['falseNotRun'], [attempt(0, 5, 'not-run')], [start(7)]],
  [
    'accepts "not run" for one of two concurrent attempts',
    [],
    [attempt(0, 5, 'not-run'), attempt(1, 9, 'completed', ownOutputs)],
    [start(3)],
  ],
  [
    'reports "not run" for an attempt sent after the start',
    ['falseNotRun'],
    [attempt(0, 4, 'broken'), attempt(5, 9, 'not-run')],
    [start(3)],
  ],
  ['reports a partial answer', ['wrongAnswers'], [attempt(0, 5, 'completed')], [start(1)]],
  [
    'reports an answer with the outputs of another job',
    ['wrongAnswers'],
    [attempt(0, 5, 'completed', [{ id: 'b', n: 0 }])],
    [start(1)],
  ],
  [
    'reports a completed answer without a start',
    ['wrongAnswers'],
    [attempt(0, 5, 'completed', ownOutputs)],
    [],
  ],
  [
    'reports a failure without a cause',
    ['unexpectedAnswers'],
    [attempt(0, 5, 'failed')],
    [start(1)],
  ],
])('%s', (_name, expected, attempts, starts, changes) => {
  expect(brokenGuarantees(attempts, starts, changes)).toEqual(expected);
});
