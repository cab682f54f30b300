import { create } from '@bufbuild/protobuf';
import { err, ok, type Result } from 'neverthrow';
import { Action, SubmissionSchema } from '../gen/magnoliakeel/v1/peer_pb';
import type Manifest from '../settings/Manifest';
import type CallerRequest from './CallerRequest';
import type CallerSubmission from './CallerSubmission';
import digestOf from './digestOf';
import parseCommon from './parseCommon';
import parseCreated from './parseCreated';
import parseTasks from './parseTasks';
import type RequestError from './RequestError';

/** Reads the submission of a job: `PUT /v1/services/{service}/jobs/{jobId}`. */
export default function parseJob(
  req: CallerRequest,
  manifest: Manifest,
): Result<CallerSubmission, RequestError> {
  const id = req.names[1]!;
  const common = parseCommon(req, manifest);
  if (common.isErr()) return err(common.error);
  const created = parseCreated(id, req.headers);
  if (created.isErr()) return err(created.error);
  const inputs = parseTasks(req.body, common.value.service);
  if (inputs.isErr()) return err(inputs.error);
  const { service, team, deadlineMs, waitMs, traceparent } = common.value;
  const submission = create(SubmissionSchema, {
    action: Action.SUBMIT,
    service: service.name,
    kind: 'job',
    id,
    team,
    createdMs: BigInt(created.value),
    digest: digestOf(inputs.value),
    inputs: inputs.value,
    deadlineMs,
    waitMs,
    traceparent,
  });
  return ok({ submission, keyed: true });
}
