import { expect, test } from 'vitest';
import Resources from '../../src/room/Resources';
import BackendHealth from '../../src/runs/BackendHealth';
import type RunState from '../../src/runs/RunState';
import ManualTimer from '../support/ManualTimer';

/** Samples ten runs of 300 ms each that complete this much of their work in each tenth of a second. */
function sampled(percentPerSample: number, samples: number): BackendHealth {
  const timer = ManualTimer.create();
  const health = BackendHealth.create(timer);
  const runs = Array.from({ length: 10 }, runOf);
  for (let sample = 0; sample < samples; sample += 1) {
    timer.jump(100);
    health.sample(runs);
    runs.forEach((run) => health.addProgress(run, percentPerSample));
  }
  return health;
}

/** Samples a slow backend server until its runs have been moved away, then lets it stay idle for this long. */
function leaveIdle(ms: number) {
  const timer = ManualTimer.create();
  const health = BackendHealth.create(timer);
  const runs = Array.from({ length: 10 }, runOf);
  for (let sample = 0; sample < 3; sample += 1) {
    timer.jump(100);
    health.sample(runs);
    runs.forEach((run) => health.addProgress(run, 4));
  }
  health.sample([]);
  timer.jump(ms);
  return { timer, health };
}

function runOf(): RunState {
  const task = { batch: 'a', step: 0, index: 0 };
  return {
    request: {
      ...{ ...task, service: 's', spec: '', estimateMs: 300, attempt: 1, mostTogether: 0 },
      ...{
        label: '',
        suspicion: 0,
        number: 1,
        owner: { isConfirmed: true, silentMs: 0 },
        needs: Resources.none,
        onEnded: () => undefined,
      },
    },
    run: { ...task, attempt: 1 },
    ...{
      startedAt: 0,
      mayHaveStarted: true,
      isConfirmed: true,
      confirmedAtPoll: 0,
      stop: undefined,
      percentDone: 0,
    },
  };
}

test('work that takes as long as estimated gives a slowness of 1', () => {
  expect(sampled(33, 3).slowness).toBeCloseTo(1, 1);
});

test('an eightfold slowdown shows within three polls', () => {
  expect(sampled(4, 3).slowness).toBeGreaterThan(7);
});

test('a backend server that makes no progress shows within three polls', () => {
  expect(sampled(0, 3).slowness).toBe(100);
});

test('slowness is undefined before any work was sampled', () => {
  expect(sampled(33, 0).slowness).toBeUndefined();
});

test('three failures in a row raise the failure rate above a half, and one success lowers it below', () => {
  const health = sampled(33, 1);
  const shares = [false, false, false, true].map((isSuccess) => {
    health.recordEnd(runOf(), isSuccess);
    return Math.round(health.failureRate * 100);
  });
  expect(shares).toEqual([25, 44, 58, 43]);
});

test('a slow backend server that is idle keeps its slowness', () => {
  expect(leaveIdle(5_000).health.slowness).toBeGreaterThan(5);
});

test('after three probes that take as long as estimated it is no longer slow', () => {
  const { timer, health } = leaveIdle(5_000);
  for (let probe = 0; probe < 3; probe += 1) {
    const run = { ...runOf(), startedAt: timer.now() };
    timer.jump(300);
    health.sample([run]);
    health.recordEnd(run, true);
  }
  expect(health.slowness).toBeLessThan(2);
});

/** The duration ratio after sixteen batches of one task of 300 ms that take this many times as long, two at a time. */
function ratioAfter(factor: number): number | undefined {
  const timer = ManualTimer.create();
  const health = BackendHealth.create(timer);
  for (let done = 0; done < 8; done += 1) {
    const runs = ['a', 'b'].map((name) => {
      const { request, ...run } = { ...runOf(), startedAt: timer.now() };
      return { ...run, request: { ...request, batch: `${name}${done}` } };
    });
    for (let sample = 1; sample <= 4; sample += 1) {
      timer.jump(75 * factor);
      health.sample(runs);
      if (sample < 4) runs.forEach((run) => health.addProgress(run, 25));
    }
    runs.forEach((run) => health.recordEnd({ ...run, percentDone: 75 }, true));
  }
  return health.durations.ratio;
}

test('the duration ratio of a slow machine is learned, that of an unhealthy backend server is not', () => {
  expect([ratioAfter(1.7), ratioAfter(8)]).toEqual([expect.closeTo(1.617, 3), undefined]);
});
