import { expect, test } from 'vitest';
import Random from '../../src/core/Random';
import Metrics from '../../src/observe/Metrics';
import ProcessFaults from '../../src/observe/ProcessFaults';
import ManualTimer from '../support/ManualTimer';

/** A process in memory, its lines, and what it does, each with the time in ms. */
function open(seed = 123_456_789) {
  const timer = ManualTimer.create();
  const seen: string[] = [];
  const note = (text: string) => seen.push(`${timer.now()} ${text}`);
  const write = (message: string, fields: object) => {
    const { unwritten, pauseMs } = fields as Record<string, unknown>;
    note(`${message} ${JSON.stringify({ unwritten, pauseMs })}`);
  };
  const faults = ProcessFaults.create({
    ...{ timer, random: Random.fromSeed(seed), log: { error: write, info: write } as never },
    end: () => note('ends'),
    leave: () => note('leaves'),
  });
  const fail = async (times: number, intervalMs: number) => {
    for (let turn = 0; turn < times; turn += 1) {
      faults.take(new Error('a fault'), 'uncaughtException');
      await timer.advance(intervalMs);
    }
  };
  const others = () => seen.filter((line) => !line.includes('reached nobody {}'));
  return { timer, faults, fail, seen, others };
}

test('an error at the start ends the process at once', async () => {
  const { fail, seen } = open();
  await fail(1, 0);
  expect(seen).toEqual(['0 an error reached nobody {}', '0 ends']);
});

test('a process that serves goes on after an error', async () => {
  const { faults, fail, seen, timer } = open();
  faults.contain(() => ({ batches: 3 }));
  await fail(3, 1_000);
  await timer.advance(60_000);
  expect(seen).toEqual([0, 1_000, 2_000].map((at) => `${at} an error reached nobody {}`));
});

test('errors that go on make it leave once, after a pause of its own', async () => {
  const seen = await Promise.all(
    [123_456_789, 1_987_654_321].map(async (seed) => {
      const { faults, fail, others } = open(seed);
      faults.contain(() => ({}));
      await fail(500, 100);
      return others();
    }),
  );
  expect(seen).toMatchInlineSnapshot(`
    [
      [
        "2800 errors come again and again: the process leaves after a pause {"pauseMs":3207}",
        "6007 leaves",
      ],
      [
        "2800 errors come again and again: the process leaves after a pause {"pauseMs":7633}",
        "10433 leaves",
      ],
    ]
  `);
});

test('it stays when they have stopped by the end of the pause', async () => {
  const { faults, fail, others, timer } = open();
  faults.contain(() => ({}));
  await fail(30, 100);
  await timer.advance(60_000);
  expect(others()).toMatchInlineSnapshot(`
    [
      "2800 errors come again and again: the process leaves after a pause {"pauseMs":3207}",
      "6007 leaves",
    ]
  `);
});

test('of very many at once some are written, all are counted, and the next line tells of the rest', async () => {
  const { faults, fail, others, timer, seen } = open();
  faults.contain(() => ({}));
  await fail(100, 0);
  await timer.advance(1_000);
  await fail(1, 0);
  const metrics = Metrics.create(timer, 'batchEntry');
  faults.expose(metrics);
  const text = await metrics.render();
  const shown = text.split('\n').filter((line) => line.startsWith('magnoliakeel_faults'));
  expect([seen.length, others(), shown]).toMatchInlineSnapshot(`
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

test('figures that cannot be had do not hide the error', async () => {
  const { faults, fail, seen } = open();
  faults.contain(() => {
    throw new Error('no figures');
  });
  await fail(1, 0);
  expect(seen).toEqual(['0 an error reached nobody {}']);
});
