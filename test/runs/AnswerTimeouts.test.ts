import { expect, test } from 'vitest';
import AnswerTimeouts from '../../src/runs/AnswerTimeouts';

function after(answersMs: readonly number[]): AnswerTimeouts {
  const times = AnswerTimeouts.create();
  answersMs.forEach((ms) => times.addSample(ms));
  return times;
}

const often = (ms: number): number[] => Array.from({ length: 50 }, () => ms);

test('before any answer one is waited for as long as after a start of this process', () => {
  expect(AnswerTimeouts.create().timeoutMs()).toBe(60);
});

test('answers within a millisecond or two make a short timeout', () => {
  expect(after(often(1.5)).timeoutMs()).toBe(20);
});

test('answers that take longer are waited for longer', () => {
  expect(Math.round(after([...often(15), ...often(25), ...often(15)]).timeoutMs())).toBe(20);
  expect(Math.round(after([10, 30, 10, 30, 10, 30, 10, 30]).timeoutMs())).toBe(63);
});

test('each further try waits twice as long, up to a tenth of a second', () => {
  const times = after(often(1));
  expect([0, 1, 2, 3, 4].map((tries) => times.timeoutMs(tries))).toEqual([20, 40, 80, 100, 100]);
});
