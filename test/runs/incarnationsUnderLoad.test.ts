import { expect, test } from 'vitest';
import BatchCase from '../support/BatchCase';

const BORN = 1_780_000_000_000;

/** Delay of the first heartbeat after a restart, ms. */
const HEARTBEAT_DELAY_MS = 15;

/** Restarts or crashes while the load lasts. */
const ROUNDS = 10;

/** Two entries and two backend servers that restart under the same ids, one after the other, under load. */
async function underLoad(batches: number, perRound: (batchCase: BatchCase, round: number) => void) {
  const batchCase = await BatchCase.open({ firstStartedAt: BORN });
  const { timer } = batchCase;
  const callers: ReturnType<BatchCase['submit']>[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    for (let i = 0; i < batches; i += 1) {
      callers.push(batchCase.submit(`${round}-${i}`, { entry: i % 2, tasks: 2, ms: 60 }));
    }
    await timer.advance(20);
    perRound(batchCase, round);
    await timer.advance(160);
  }
  await timer.advance(3_000);
  return { batchCase, answers: callers.map(({ answer }) => answer?.kind) };
}

function restart(batchCase: BatchCase, number: number): void {
  batchCase.backends[number]!.restart();
  batchCase.timer.after(HEARTBEAT_DELAY_MS, () => batchCase.sendHeartbeat(number));
}

test('batches are completed while backend servers restart under the same ids', async () => {
  const { batchCase, answers } = await underLoad(4, (each, round) => restart(each, round % 2));
  expect([new Set(answers), batchCase.maxConcurrentRuns]).toEqual([new Set(['completed']), 1]);
});

test('no task runs twice when unanswered starts are executed by the next incarnation', async () => {
  const { batchCase, answers } = await underLoad(1, (each, round) => {
    const number = round % 2;
    for (const lateMs of [5, 10, 30, 120, 200]) {
      each.backends[number]!.injectFault({ call: 'start', how: 'late', lateMs });
    }
    each.submit(`late-${round}`, { tasks: 3, ms: 150 });
    each.timer.after(3, () => restart(each, number));
  });
  expect([new Set(answers), batchCase.maxConcurrentRuns]).toEqual([new Set(['completed']), 1]);
});

test('a backend server that crashes and restarts repeatedly under its id serves whenever it is up', async () => {
  const { batchCase, answers } = await underLoad(4, (each, round) => {
    each.backends[round % 2]!.crash();
    each.timer.after(100, () => restart(each, round % 2));
  });
  const accepting = batchCase.sidecars.map(({ isAccepting }) => isAccepting);
  expect([new Set(answers), batchCase.maxConcurrentRuns, accepting]).toEqual([
    new Set(['completed']),
    1,
    [true, true],
  ]);
});

test('nothing requested by an entry that is gone runs on in the next incarnation of a backend server', async () => {
  const batchCase = await BatchCase.open({ entries: 1, sidecars: 1, firstStartedAt: BORN });
  const { timer } = batchCase;
  const [backend] = batchCase.backends;
  for (let i = 0; i < 3; i += 1) backend!.injectFault({ call: 'start', how: 'late', lateMs: 10 });
  batchCase.submit('a', { tasks: 3, ms: 900 });
  await timer.advance(5);
  backend!.restart();
  batchCase.network.blackhole('e0', 's0');
  await timer.advance(50);
  const late = batchCase.running.length;
  batchCase.sendHeartbeat(0);
  await timer.advance(200);
  expect([late > 0, batchCase.running]).toEqual([true, []]);
});
