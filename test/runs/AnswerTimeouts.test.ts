import { expect, test } from 'vitest';
import AnswerTimeouts from '../../src/runs/AnswerTimeouts';

function after(answersMs: readonly number[]): AnswerTimeouts {
  const times = AnswerTimeouts.create();
  answersMs.forEach((ms) => times.addSample(ms));
  return times;
}

const often = (ms: number): number[] => Array.from({ length: 50 }, () => ms);

test('before any answer the timeout is long enough for a process that has just started', () => {
  expect(AnswerTimeouts.create().timeoutMs()).toBe(60);
});

test('answers within a millisecond or two give a short timeout', () => {
  expect(after(often(1.5)).timeoutMs()).toBe(20);
});

test('slower answers give a longer timeout', () => {
  expect(Math.round(after([...often(15), ...often(25), ...often(15)]).timeoutMs())).toBe(20);
  expect(Math.round(after([10, 30, 10, 30, 10, 30, 10, 30]).timeoutMs())).toBe(63);
});

test('the timeout doubles with each retry, up to a tenth of a second', () => {
  const times = after(often(1));
  expect([0, 1, 2, 3, 4].map((tries) => times.timeoutMs(tries))).toEqual([20, 40, 80, 100, 100]);
});
