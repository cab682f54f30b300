import { expect, test } from 'vitest';
import BatchCase from '../support/BatchCase';

/** Makes every entry lag by 300 ms, several times in a row. */
async function causeLag({ timer }: BatchCase): Promise<void> {
  for (let round = 0; round < 3; round += 1) {
    timer.jump(400);
    await timer.advance(1);
  }
}

// A lagging entry accepted everything: 2,430 of 4,640 jobs in a small day, and answered hardly any
// of them in time. See the replay of a starved entry.
test('a lagging entry refuses new batches with a retry delay', async () => {
  const batchCase = await BatchCase.open({ entries: 1 });
  const entry = batchCase.entries[0]!;
  const before = entry.refusalOf('new', 'q');
  await causeLag(batchCase);
  expect([before, entry.refusalOf('new', 'q')]).toMatchInlineSnapshot(`
    [
      undefined,
      {
        "kind": "not-run",
        "reason": "this entry has more to do than it can",
        "retryAfterMs": 451,
      },
    ]
  `);
});

test('a resubmission to a lagging entry is not refused: it may have run', async () => {
  const batchCase = await BatchCase.open({ entries: 1 });
  batchCase.submit('open', { ms: 5_000 });
  await batchCase.timer.advance(20);
  await causeLag(batchCase);
  expect(batchCase.entries[0]!.refusalOf('open', 'q')).toBeUndefined();
});

test('a single long turn of the event loop causes no refusal', async () => {
  const batchCase = await BatchCase.open({ entries: 1 });
  batchCase.timer.jump(400);
  const within = batchCase.entries[0]!.refusalOf('new', 'q');
  await batchCase.timer.advance(1);
  expect([within, batchCase.entries[0]!.refusalOf('new', 'q')]).toEqual([undefined, undefined]);
});

test('an entry that has caught up accepts new batches', async () => {
  const batchCase = await BatchCase.open({ entries: 1 });
  await causeLag(batchCase);
  await batchCase.timer.advance(300);
  expect(batchCase.entries[0]!.refusalOf('new', 'q')).toBeUndefined();
});

// Beside busy processes an entry lagged by 466 ms, and when it was stopped for 650 ms it answered
// 504 in 2 of 4 runs.
test.each([0, 50, 100, 150, 200, 250, 300, 350])(
  'an entry that lags by 650 ms keeps its open batches, %i ms after a turn of its timers',
  async (phaseMs) => {
    const batchCase = await BatchCase.open({ entries: 1 });
    const caller = batchCase.submit('a', { ms: 5_000 });
    await batchCase.timer.advance(1_200 + phaseMs);
    batchCase.timer.jump(650);
    await batchCase.timer.advance(100);
    expect([caller.answer, batchCase.entries[0]!.openCount]).toEqual([undefined, 1]);
  },
);
