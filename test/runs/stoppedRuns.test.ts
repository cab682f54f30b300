import { expect, test } from 'vitest';
import BatchCase from '../support/BatchCase';
import RunCase from '../support/RunCase';

/** What sidecars log of the runs that have ended, after an event at a batch's entry or caller. */
async function logOfStop(applyEvent: (batchCase: BatchCase, caller: AbortController) => void) {
  const lines: string[] = [];
  const batchCase = await BatchCase.open({
    sidecars: 1,
    onLog: (message, { entry, incarnation, outcome, reason, stopCause, stopMs }) => {
      if (message === 'a run is over' && outcome === 'lost')
        lines.push(`${entry} ${incarnation}: ${stopCause}, after ${stopMs} ms ${reason}`);
    },
  });
  const { gone } = batchCase.submit('a', { ms: 5_000 });
  await batchCase.timer.advance(600);
  applyEvent(batchCase, gone);
  await batchCase.timer.advance(1_300);
  return [...lines, ...batchCase.sidecars[0]!.stops];
}

test('the log record of a stopped run has its entry, the cause of the stop and how long that took', async () => {
  expect({
    asked: await logOfStop((_batchCase, caller) => caller.abort()),
    silent: await logOfStop(({ network }) => network.blackhole('e0', 's0')),
    ended: await logOfStop(({ network }) => network.kill('e0')),
  }).toMatchInlineSnapshot(`
    {
      "asked": [
        "e0 e0.0: asked, after 30 ms stopped",
        [
          "asked",
          1,
        ],
      ],
      "ended": [
        "e0 e0.0: link_ended, after 30 ms stopped",
        [
          "link_ended",
          1,
        ],
      ],
      "silent": [
        "e0 e0.0: entry_silent, after 40 ms stopped",
        [
          "entry_silent",
          1,
        ],
      ],
    }
  `);
});

test('a start request for a task that still runs for another entry is logged', async () => {
  const { runCase } = await RunCase.open();
  const stops: unknown[] = [];
  runCase.startTasks('a', 1, { onEnded: (_end, stop) => stops.push(stop?.cause) });
  await runCase.timer.advance(100);
  runCase.startTasks('a', 1, { owner: { isConfirmed: true, silentMs: 0 } });
  await runCase.timer.advance(100);
  const records = runCase.logRecords.filter(({ message }) =>
    String(message).startsWith('a task is'),
  );
  expect({ stops, records }).toMatchInlineSnapshot(`
    {
      "records": [
        {
          "attempt": 1,
          "index": 0,
          "isOfOtherOwner": true,
          "message": "a task is started again while an earlier run of it is active",
          "ranMs": 100,
          "request": "a",
          "step": 0,
          "stopCause": undefined,
        },
      ],
      "stops": [
        "ordered_again",
      ],
    }
  `);
});
