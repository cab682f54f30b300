import { create } from '@bufbuild/protobuf';
import { err, ok, type Result } from 'neverthrow';
import { Action, SubmissionSchema } from '../gen/magnoliakeel/v1/peer_pb';
import type Manifest from '../settings/Manifest';
import type CallerRequest from './CallerRequest';
import type CallerSubmission from './CallerSubmission';
import digestOf from './digestOf';
import findService from './findService';
import parseCommon from './parseCommon';
import parseCreated from './parseCreated';
import parseTasks from './parseTasks';
import type RequestError from './RequestError';
import RequestFindings from './RequestFindings';

/** Parses the submission of a job: `PUT /v1/services/{service}/jobs/{jobId}`. */
export default function parseJob(
  req: CallerRequest,
  manifest: Manifest,
): Result<CallerSubmission, RequestError> {
  const service = findService(req, manifest);
  if (service.isErr()) return err(service.error);
  const id = req.pathParameters[1]!;
  const findings = RequestFindings.create();
  const common = parseCommon(req, manifest, service.value, findings);
  const createdMs = parseCreated('id', id, req.headers, findings);
  const inputs = parseTasks(req.body, service.value, findings);
  if (!findings.isEmpty) return err(findings.toError());
  const submission = create(SubmissionSchema, {
    ...common,
    action: Action.SUBMIT,
    service: service.value.name,
    kind: 'job',
    id,
    createdMs: BigInt(createdMs),
    digest: digestOf(inputs),
    inputs,
  });
  return ok({ submission, keyed: true });
}
