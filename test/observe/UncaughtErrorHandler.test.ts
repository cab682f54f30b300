import { expect, test } from 'vitest';
import Random from '../../src/core/Random';
import Metrics from '../../src/observe/Metrics';
import UncaughtErrorHandler from '../../src/observe/UncaughtErrorHandler';
import ManualTimer from '../support/ManualTimer';

/** Creates the error handling of a process, with what it logs and does, each with the time in ms. */
function open(seed = 123_456_789) {
  const timer = ManualTimer.create();
  const events: string[] = [];
  const record = (text: string) => events.push(`${timer.now()} ${text}`);
  const write = (message: string, fields: object) => {
    const { unwritten, pauseMs } = fields as Record<string, unknown>;
    record(`${message} ${JSON.stringify({ unwritten, pauseMs })}`);
  };
  const faults = UncaughtErrorHandler.create({
    ...{ timer, random: Random.fromSeed(seed), log: { error: write, info: write } as never },
    exit: () => record('exits'),
    shutDown: () => record('shuts down'),
  });
  const fail = async (times: number, intervalMs: number) => {
    for (let turn = 0; turn < times; turn += 1) {
      faults.handleUncaught(new Error('a fault'), 'uncaughtException');
      await timer.advance(intervalMs);
    }
  };
  const otherEvents = () => events.filter((line) => !line.includes('reached nobody {}'));
  return { timer, faults, fail, events, otherEvents };
}

test('an error during startup ends the process at once', async () => {
  const { fail, events } = open();
  await fail(1, 0);
  expect(events).toEqual(['0 an error reached nobody {}', '0 exits']);
});

test('a process that serves requests goes on after an error', async () => {
  const { faults, fail, events, timer } = open();
  faults.surviveErrors(() => ({ batches: 3 }));
  await fail(3, 1_000);
  await timer.advance(60_000);
  expect(events).toEqual([0, 1_000, 2_000].map((at) => `${at} an error reached nobody {}`));
});

test('errors that keep occurring shut the process down once, after a random delay', async () => {
  const events = await Promise.all(
    [123_456_789, 1_987_654_321].map(async (seed) => {
      const { faults, fail, otherEvents } = open(seed);
      faults.surviveErrors(() => ({}));
      await fail(500, 100);
      return otherEvents();
    }),
  );
  expect(events).toMatchInlineSnapshot(`
    [
      [
        "2800 errors keep occurring: the process shuts down after a random delay {"pauseMs":3207}",
        "6007 shuts down",
      ],
      [
        "2800 errors keep occurring: the process shuts down after a random delay {"pauseMs":7633}",
        "10433 shuts down",
      ],
    ]
  `);
});

test('a process is not shut down when the errors have stopped by the end of the delay', async () => {
  const { faults, fail, otherEvents, timer } = open();
  faults.surviveErrors(() => ({}));
  await fail(30, 100);
  await timer.advance(60_000);
  expect(otherEvents()).toMatchInlineSnapshot(`
    [
      "2800 errors keep occurring: the process shuts down after a random delay {"pauseMs":3207}",
      "6007 shuts down",
    ]
  `);
});

test('of many errors at once the first are logged and all counted, and the next line has the number of the others', async () => {
  const { faults, fail, otherEvents, timer, events } = open();
  faults.surviveErrors(() => ({}));
  await fail(100, 0);
  await timer.advance(1_000);
  await fail(1, 0);
  const metrics = Metrics.create(timer, 'batchEntry');
  faults.registerMetrics(metrics);
  const text = await metrics.render();
  const shown = text.split('\n').filter((line) => line.startsWith('magnoliakeel_faults'));
  expect([events.length, otherEvents(), shown]).toMatchInlineSnapshot(`
    [
      11,
      [
        "1000 an error reached nobody {"unwritten":90}",
      ],
      [
        "magnoliakeel_faults_total{origin="uncaughtException"} 101",
      ],
    ]
  `);
});

test('an error is logged also when the counts of work in progress cannot be read', async () => {
  const { faults, fail, events } = open();
  faults.surviveErrors(() => {
    throw new Error('no figures');
  });
  await fail(1, 0);
  expect(events).toEqual(['0 an error reached nobody {}']);
});
