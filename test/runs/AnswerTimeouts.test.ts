import { expect, test } from 'vitest';
import AnswerTimeouts from '../../src/runs/AnswerTimeouts';

function timeoutsAfter(answersMs: readonly number[]): AnswerTimeouts {
  const timeouts = AnswerTimeouts.create();
  answersMs.forEach((ms) => timeouts.addSample(ms));
  return timeouts;
}

const repeated = (ms: number): number[] => Array.from({ length: 50 }, () => ms);

test('before any answer the timeout is long enough for a process that has just started', () => {
  expect(AnswerTimeouts.create().timeoutMs()).toBe(60);
});

test('answers within a millisecond or two give a short timeout', () => {
  expect(timeoutsAfter(repeated(1.5)).timeoutMs()).toBe(20);
});

test('slower answers give a longer timeout', () => {
  expect(
    Math.round(timeoutsAfter([...repeated(15), ...repeated(25), ...repeated(15)]).timeoutMs()),
  ).toBe(20);
  expect(Math.round(timeoutsAfter([10, 30, 10, 30, 10, 30, 10, 30]).timeoutMs())).toBe(63);
});

test('the timeout doubles with each retry, up to a tenth of a second', () => {
  const timeouts = timeoutsAfter(repeated(1));
  expect([0, 1, 2, 3, 4].map((tries) => timeouts.timeoutMs(tries))).toEqual([20, 40, 80, 100, 100]);
});
