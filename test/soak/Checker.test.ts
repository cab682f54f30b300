import { beforeEach, expect, test } from 'vitest';
import Checker from '../../tools/soak/Checker';
import ManualTimer from '../support/ManualTimer';

let timer: ManualTimer;

let checker: Checker;

beforeEach(() => {
  timer = ManualTimer.create();
  checker = Checker.create(timer);
  checker.jobSent('a', ['a.0.0.0']);
});

const run = (task: string, backend = 'b1', cpuMilli = 1_000) =>
  checker.runStarted({ backend, task, cpuMilli }, 2_000);

const answer = (status: number, text = '', sentAt = 0) =>
  checker.jobAnswered({ id: 'a', entry: 'e1', sentAt, status, text });

const configured = (version: number) =>
  checker.checkLine('e1', `{"version":${version},"message":"a configuration is in force"}`);

const kinds = () => checker.findings.map(({ kind }) => kind);

const REFUSAL = '{"error":"no room","retry_after_ms":100}';

const COMPLETED = '{"state":"completed"}';

test.each<[string, string[], () => unknown]>([
  [
    'two concurrent runs of one task at two backend servers',
    ['two runs of one task'],
    () => [run('a.0.0.0'), run('a.0.0.0', 'b2')],
  ],
  [
    'tasks that exceed the capacity of a backend server',
    ['capacity exceeded'],
    () => [run('a.0.0.0'), run('a.0.0.1'), run('a.0.0.2')],
  ],
  [
    'a job that ran although it was refused',
    ['a refused job ran'],
    () => [
      run('a.0.0.0'),
      answer(503, REFUSAL),
      checker.runEnded('b1', 'a.0.0.0', 'lost'),
      checker.checkAtEnd([], 0),
    ],
  ],
  [
    'a job answered as completed of which no task was done',
    ['completed without all tasks done'],
    () => answer(200, COMPLETED),
  ],
  ['a 200 without a state', ['an answer is not whole'], () => answer(200, '{"sta')],
  [
    'a refusal without a retry time',
    ['an answer is not whole'],
    () => answer(503, '{"error":"no"}'),
  ],
  ['a 504 without an error', ['an answer is not whole'], () => answer(504)],
  [
    'an answer with an unexpected status',
    ['an answer is not whole'],
    () => answer(404, '{"error":"no"}'),
  ],
  ['a broken connection', ['neither answer nor refusal'], () => answer(0, 'socket hang up')],
  [
    'an unanswered duplicate submission when the caller closes the connection of the other',
    ['neither answer nor refusal'],
    () => [
      checker.jobSent('a', ['a.0.0.0']),
      checker.connectionClosed('a'),
      answer(0, 'socket hang up'),
    ],
  ],
  [
    'two concurrent runs of duplicate submissions of which the caller has closed one',
    ['two runs of one task'],
    () => [
      ...[checker.jobSent('a', ['a.0.0.0']), run('a.0.0.0'), checker.connectionClosed('a')],
      ...[run('a.0.0.0', 'b2'), checker.runEnded('b1', 'a.0.0.0', 'stopped')],
    ],
  ],
  [
    'a job that ran although both of its duplicate submissions were refused',
    ['a refused job ran'],
    () => [
      ...[checker.jobSent('a', ['a.0.0.0']), run('a.0.0.0')],
      ...[answer(503, REFUSAL), answer(503, REFUSAL)],
      ...[checker.runEnded('b1', 'a.0.0.0', 'lost'), checker.checkAtEnd([], 0)],
    ],
  ],
  [
    'a run that continues after its caller has closed the connection',
    ['runs go on without a caller'],
    () => [run('a.0.0.0'), checker.connectionClosed('a'), checker.checkAtEnd([], 0)],
  ],
  [
    'a process that ended by itself',
    ['a process ended by itself'],
    () => checker.processExited('e1', 'with code 1', false),
  ],
  [
    'an error that no code handled',
    ['an error reached nobody'],
    () => checker.checkLine('e1', '{"message":"an error reached nobody"}'),
  ],
  [
    'a configuration with a lower version than the one before',
    ['configuration went back'],
    () => [configured(5), configured(4)],
  ],
  [
    'an entry that does not serve again after the last fault',
    ['not served again after the last fault'],
    () => [
      run('a.0.0.0'),
      checker.runEnded('b1', 'a.0.0.0', 'done'),
      [0, 1, 2, 3, 4].forEach((sentAt) => answer(200, COMPLETED, sentAt)),
      checker.checkAtEnd(['e1'], 0),
    ],
  ],
  [
    'a run that is never ended',
    ['runs go on without a caller'],
    () => [run('a.0.0.0'), checker.checkAtEnd([], 0)],
  ],
])('reports %s', (_what, expected, act) => {
  act();
  expect(kinds()).toEqual(expected);
});

const cancelledJob = { id: 'a', body: '', tasks: ['a.0.0.0'], deadlineMs: 1 };

test('reports a run of a cancelled job once nothing is disturbed any more', async () => {
  checker.jobCancelled(cancelledJob);
  checker.lastDisturbed();
  await timer.advance(2_900);
  run('a.0.0.0');
  checker.runEnded('b1', 'a.0.0.0', 'stopped');
  const before = kinds();
  await timer.advance(100);
  run('a.0.0.0');
  expect([before, kinds()]).toEqual([[], ['a cancelled job ran']]);
});

test('reports a job that is answered as cancelled although no caller has asked for that', () => {
  const cancelled = '{"state":"cancelled"}';
  answer(200, cancelled);
  checker.cancelRequested(cancelledJob);
  answer(200, cancelled);
  expect(kinds()).toEqual(['cancelled without a request']);
});

test('a cancelled job does not show that its entry serves again', () => {
  checker.cancelRequested(cancelledJob);
  [1, 2, 3, 4, 5].forEach((sentAt) => answer(200, '{"state":"cancelled"}', sentAt));
  expect(checker.haveServedSince(['e1'], 0)).toBe(false);
});

test('reports a request that was sent before a graceful shutdown and lost by it', async () => {
  await timer.advance(2_000);
  checker.processDisturbed('e1', 'stop');
  await timer.advance(3_000);
  answer(0, 'socket hang up', 500);
  expect(kinds()).toEqual(['neither answer nor refusal']);
});

test('reports a request without an answer long after its entry was resumed', async () => {
  checker.processDisturbed('e1', 'hard');
  checker.processRecovered('e1');
  await timer.advance(5_000);
  answer(0, 'silence', 4_000);
  expect(kinds()).toEqual(['neither answer nor refusal']);
});

test('reports nothing when a caller closes its connection and the job runs through another entry', () => {
  run('a.0.0.0');
  checker.connectionClosed('a');
  checker.runEnded('b1', 'a.0.0.0', 'stopped');
  run('a.0.0.0', 'b2');
  checker.runEnded('b2', 'a.0.0.0', 'done');
  answer(200, COMPLETED);
  answer(503, REFUSAL);
  checker.checkAtEnd([], 0);
  expect(checker.findings).toEqual([]);
});

test('reports nothing when all guarantees hold', async () => {
  configured(1);
  run('a.0.0.0');
  checker.runEnded('b1', 'a.0.0.0', 'lost');
  run('a.0.0.0', 'b2');
  checker.runEnded('b2', 'a.0.0.0', 'done');
  await timer.advance(100);
  [50, 51, 52, 53, 54].forEach((sentAt) => answer(200, COMPLETED, sentAt));
  checker.processDisturbed('e1', 'hard');
  answer(0, 'socket hang up', 90);
  checker.processExited('e1', 'with SIGKILL', true);
  checker.processStarted('e1');
  configured(1);
  checker.checkAtEnd(['e1'], 0);
  expect(checker.findings).toEqual([]);
});
