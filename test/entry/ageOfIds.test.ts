import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import type Dispatcher from '../../src/dispatch/Dispatcher';
import Jobs from '../../src/entry/Jobs';
import type JobsOptions from '../../src/entry/JobsOptions';
import { Action, Outcome, SubmissionSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import ManualTimer from '../support/ManualTimer';

const RETENTION_MS = 600_000;
const SKEW_MS = 30_000;

/** Submits a job whose id was made this long ago, and says what its owner answers. */
async function submit(ageMs: number): Promise<string> {
  const timer = ManualTimer.create();
  const options: Partial<JobsOptions> = {
    ...{ timer, clockSkewMs: SKEW_MS, ownsNew: () => true, refuse: () => undefined },
    resolve: async () => ({ kind: 'fresh' }),
    ...{ retentionOf: () => RETENTION_MS, taskTimeoutOf: () => 1000, jobTimeoutOf: () => 1000 },
  };
  const dispatcher = { enqueue: () => undefined } as Partial<Dispatcher> as Dispatcher;
  const jobs = Jobs.create(options as JobsOptions, dispatcher);
  const createdMs = BigInt(timer.wall() - ageMs);
  const fields = { action: Action.SUBMIT, service: 'booking', kind: 'job', id: 'a', createdMs };
  const inputs = [Buffer.from('1')];
  const reply = await jobs.handle(create(SubmissionSchema, { ...fields, inputs }));
  return reply.kind === 'answer' ? Outcome[reply.answer.outcome] : reply.kind;
}

test.each([
  ['as old as the retention', RETENTION_MS, 'PENDING'],
  ['older than the retention', RETENTION_MS + 1, 'EXPIRED'],
  ['as far in the future as clocks may differ', -SKEW_MS, 'PENDING'],
  ['further in the future', -SKEW_MS - 1, 'INVALID'],
])('an id %s', async (_what, ageMs, outcome) => {
  expect(await submit(ageMs)).toBe(outcome);
});
