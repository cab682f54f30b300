import { create } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import Random from '../../src/core/Random';
import Admission from '../../src/entry/Admission';
import type AdmissionOptions from '../../src/entry/AdmissionOptions';
import { Outcome, SubmissionSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';

function outcomeWith(predictedWaitMs: number, deadlineMs: number, isContinued = false): string {
  const service = { jobTimeoutMs: 8000, queue: { maxTasks: 100 } };
  const options = {
    manifest: { service: () => service, offers: () => true, offersTeam: () => true },
    ...{ recordBytes: 1000, queued: () => 0, isLeaving: () => false },
    predictedWaitMs: () => predictedWaitMs,
  } as unknown as AdmissionOptions;
  const submission = create(SubmissionSchema, { service: 'booking', team: 'web', deadlineMs });
  const answer = Admission.create(options, Random.fromSeed(1)).refusalFor(
    submission,
    0,
    isContinued,
  );
  return answer ? `${Outcome[answer.outcome]}, again in ${answer.retryAfterMs} ms` : 'taken on';
}

it('refuses what would wait for more than half of its time, with a jittered time to come back', () => {
  expect({
    shortWait: outcomeWith(900, 2000),
    longWait: outcomeWith(1100, 2000),
    longWaitOfLongTime: outcomeWith(1100, 0),
    beyondTheServiceLimit: outcomeWith(4100, 60_000),
    ofContinuedJob: outcomeWith(1100, 2000, true),
  }).toMatchInlineSnapshot(`
    {
      "beyondTheServiceLimit": "NOT_RUN, again in 1500 ms",
      "longWait": "NOT_RUN, again in 1500 ms",
      "longWaitOfLongTime": "taken on",
      "ofContinuedJob": "taken on",
      "shortWait": "taken on",
    }
  `);
});
