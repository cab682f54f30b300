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

/** An owner with nothing to do. */
function start(refuse: JobTableOptions['refuse'] = () => undefined) {
  const timer = ManualTimer.create();
  const options: Partial<JobTableOptions> = {
    ...{ timer, clockSkewMs: SKEW_MS, ownsNew: () => true, refuse },
    resolve: async () => ({ kind: 'fresh' }),
    ...{ retentionOf: () => RETENTION_MS, taskTimeoutOf: () => 1000, jobTimeoutOf: () => 1000 },
  };
  const dispatcher = {
    enqueue: never,
    cancel: never,
    dequeue: never,
  } as Partial<Dispatcher> as Dispatcher;
  return { timer, jobs: JobTable.create(options as JobTableOptions, dispatcher) };
}

/** Submits a job whose id was made this long ago, and says what its owner answers. */
async function submit({ timer, jobs }: ReturnType<typeof start>, ageMs: number, id = 'a') {
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
  ['further in the future', -SKEW_MS - 1, 'INVALID'],
])('an id %s', async (_what, ageMs, outcome) => {
  expect(await submit(start(), ageMs)).toBe(outcome);
});

test('the inputs of open jobs count as kept, until the jobs have their answers', async () => {
  const kept: number[] = [];
  const owner = start((_submission, keptBytes) => {
    kept.push(keptBytes);
    return undefined;
  });
  await submit(owner, 0, 'a');
  await submit(owner, 0, 'b');
  await owner.timer.advance(2000);
  await submit(owner, 0, 'c');
  expect(kept).toEqual([0, 8, 0]);
});
