import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import type Dispatcher from '../../src/dispatch/Dispatcher';
import JobTable from '../../src/entry/JobTable';
import type JobTableOptions from '../../src/entry/JobTableOptions';
import { Action, Outcome, SubmissionSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import ManualTimer from '../support/ManualTimer';
import never from '../support/never';

const RETENTION_MS = 600_000;
const SKEW_MS = 30_000;

/** Creates an empty job table that owns every key. */
function createTable(refusalFor: JobTableOptions['refusalFor'] = () => undefined) {
  const timer = ManualTimer.create();
  const options: Partial<JobTableOptions> = {
    ...{ timer, clockSkewMs: SKEW_MS, ownsKey: () => true, refusalFor },
    recover: async () => ({ kind: 'fresh' }),
    saveCancelled: async () => undefined,
    ...{
      retentionMsOf: () => RETENTION_MS,
      taskTimeoutMsOf: () => 1000,
      jobTimeoutMsOf: () => 1000,
    },
  };
  const dispatcher = {
    enqueue: never,
    cancel: never,
    dequeue: never,
  } as Partial<Dispatcher> as Dispatcher;
  return { timer, jobs: JobTable.create(options as JobTableOptions, dispatcher) };
}

/**
 * Submits a job whose id was created `ageMs` ago and returns the outcome of the
 * answer, or the kind of another reply.
 */
async function submit({ timer, jobs }: ReturnType<typeof createTable>, ageMs: number, id = 'a') {
  const createdMs = BigInt(timer.wall() - ageMs);
  const fields = { action: Action.SUBMIT, service: 'booking', kind: 'job', id, createdMs };
  const inputs = [Buffer.from('12345'), Buffer.from('678')];
  const reply = await jobs.handle(create(SubmissionSchema, { ...fields, inputs }));
  return reply.kind === 'answer' ? Outcome[reply.answer.outcome] : reply.kind;
}

test.each([
  ['as old as the retention', RETENTION_MS, 'PENDING'],
  ['older than the retention', RETENTION_MS + 1, 'EXPIRED'],
  ['as far in the future as clocks may differ', -SKEW_MS, 'PENDING'],
  ['further in the future than clocks may differ', -SKEW_MS - 1, 'INVALID'],
])('an id %s', async (_age, ageMs, outcome) => {
  expect(await submit(createTable(), ageMs)).toBe(outcome);
});

test('the inputs of open jobs count toward the memory of records until the jobs are answered', async () => {
  const seenBytes: number[] = [];
  const table = createTable((_submission, keptBytes) => {
    seenBytes.push(keptBytes);
    return undefined;
  });
  await submit(table, 0, 'a');
  await submit(table, 0, 'b');
  await table.timer.advance(2000);
  await submit(table, 0, 'c');
  expect(seenBytes).toEqual([0, 8, 0]);
});
