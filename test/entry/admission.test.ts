import { create } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import Random from '../../src/core/Random';
import Admission from '../../src/entry/Admission';
import type AdmissionOptions from '../../src/entry/AdmissionOptions';
import { Outcome, SubmissionSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';

function admit(predictedWaitMs: number, deadlineMs: number, isContinued = false): string {
  const service = { jobTimeoutMs: 8000, queue: { maxTasks: 100 } };
  const options = {
    manifest: { service: () => service, offersService: () => true, offersTeam: () => true },
    ...{ recordBytes: 1000, queueLength: () => 0, isLeaving: () => false },
    predictedWaitMs: () => predictedWaitMs,
  } as unknown as AdmissionOptions;
  const submission = create(SubmissionSchema, { service: 'booking', team: 'web', deadlineMs });
  const answer = Admission.create(options, Random.fromSeed(1)).refusalFor(
    submission,
    0,
    isContinued,
  );
  return answer ? `${Outcome[answer.outcome]}, retry after ${answer.retryAfterMs} ms` : 'accepted';
}

it('refuses a submission that would wait for more than half of its time, with a jittered retry delay', () => {
  expect({
    shortWait: admit(900, 2000),
    longWait: admit(1100, 2000),
    longWaitWithoutDeadline: admit(1100, 0),
    deadlineBeyondServiceLimit: admit(4100, 60_000),
    longWaitOfContinuedJob: admit(1100, 2000, true),
  }).toMatchInlineSnapshot(`
    {
      "deadlineBeyondServiceLimit": "NOT_RUN, retry after 1500 ms",
      "longWait": "NOT_RUN, retry after 1500 ms",
      "longWaitOfContinuedJob": "accepted",
      "longWaitWithoutDeadline": "accepted",
      "shortWait": "accepted",
    }
  `);
});
