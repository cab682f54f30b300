import { expect, test } from 'vitest';
import standardPolicy from '../../src/batches/standardPolicy';
import withEarlyRefusal from '../../src/batches/withEarlyRefusal';
import BatchCase from '../support/BatchCase';

/** A batch that takes 100 ms and is late if it has not started after as long again. */
const brief = { queue: { priority: 1, stretch: 2, targetLatencyMs: 0 } };

/** A batch that can meet its target for as long as any test runs. */
const patient = { queue: { priority: 0, stretch: 2, targetLatencyMs: 20_000 }, ms: 5_000 };

/**
 * Opens entries past their startup phase, since before its end it is not known what can be served.
 */
async function open(entries = 1): Promise<BatchCase> {
  const batchCase = await BatchCase.open({ entries, policy: withEarlyRefusal(standardPolicy) });
  await batchCase.timer.advance(3_000);
  return batchCase;
}

/** Fills both backend servers, and adds one batch to the backlog that can still meet its target. */
async function fill(batchCase: BatchCase): Promise<void> {
  batchCase.submit('running', { ...patient, tasks: 8 });
  await batchCase.timer.advance(1_000);
  batchCase.submit('waiting', { ...patient, ms: 4_000 });
  await batchCase.timer.advance(5);
}

// In a replay at 130% of the capacity, callers were refused after a median of 1,050 ms, by when
// their answer would have had no value, and for more than a second late batches used the capacity
// of those that arrived after the shortage.
test('a late batch in the backlog is refused if others are not late, with a retry delay', async () => {
  const batchCase = await open();
  await fill(batchCase);
  const late = batchCase.submit('late', brief);
  await batchCase.timer.advance(90);
  const before = late.answer;
  await batchCase.timer.advance(120);
  expect([before, late.answer]).toMatchInlineSnapshot(`
    [
      undefined,
      {
        "kind": "not-run",
        "reason": "there will be no room for it in time",
        "retryAfterMs": 600,
      },
    ]
  `);
});

test('late batches are served while only late ones are waiting', async () => {
  const batchCase = await open();
  batchCase.submit('running', { ...patient, ms: 250, tasks: 8 });
  await batchCase.timer.advance(1);
  const late = ['a', 'b'].map((id) => batchCase.submit(id, brief));
  await batchCase.timer.advance(400);
  expect(late.map(({ answer }) => answer?.kind)).toEqual(['completed', 'completed']);
});

test('a started batch is finished even if it is late and others are not', async () => {
  const batchCase = await open();
  batchCase.submit('running', { ...patient, tasks: 7 });
  await batchCase.timer.advance(1);
  const begun = batchCase.submit('begun', { ...brief, tasks: 3 });
  await batchCase.timer.advance(1);
  batchCase.submit('waiting', patient);
  await batchCase.timer.advance(320);
  expect(begun.answer?.kind).toBe('completed');
});

test('a queue without a latency target sheds nothing', async () => {
  const batchCase = await open();
  await fill(batchCase);
  const queue = { priority: 1, stretch: 0, targetLatencyMs: 0 };
  const batch = batchCase.submit('b', { queue });
  await batchCase.timer.advance(5);
  expect(batch.answer).toBeUndefined();
});

test('in a lasting shortage a batch without a chance is refused on arrival', async () => {
  const batchCase = await open();
  await fill(batchCase);
  const early = ['a', 'b'].map((id) => batchCase.submit(id, brief));
  await batchCase.timer.advance(1);
  const atFirst = early.map(({ answer }) => answer?.kind);
  await batchCase.timer.advance(300);
  const first = batchCase.submit('c', brief);
  await batchCase.timer.advance(1);
  const second = batchCase.submit('d', brief);
  await batchCase.timer.advance(1);
  const later = [first, second];
  expect([atFirst, later.map(({ answer }) => answer?.kind)]).toEqual([
    [undefined, undefined],
    [undefined, 'not-run'],
  ]);
});
