import { randomUUID } from 'node:crypto';
import { create } from '@bufbuild/protobuf';
import { err, ok, type Result } from 'neverthrow';
import { Action, SubmissionSchema } from '../gen/magnoliakeel/v1/peer_pb';
import type Manifest from '../settings/Manifest';
import type CallerRequest from './CallerRequest';
import type CallerSubmission from './CallerSubmission';
import digestOf from './digestOf';
import findService from './findService';
import headerOf from './headerOf';
import parseCommon from './parseCommon';
import parseCreated from './parseCreated';
import type RequestError from './RequestError';
import RequestFindings from './RequestFindings';

/** Parses a single request: `POST /v1/services/{service}/requests`. */
export default function parseSingleRequest(
  req: CallerRequest,
  manifest: Manifest,
  nowMs: number,
): Result<CallerSubmission, RequestError> {
  const found = findService(req, manifest);
  if (found.isErr()) return err(found.error);
  const service = found.value;
  const { length } = req.body;
  if (length > service.maxTaskBytes) {
    const reason = `body: found ${length} bytes, expected at most ${service.maxTaskBytes}`;
    return err({ status: 413, reason });
  }
  const findings = RequestFindings.create();
  const common = parseCommon(req, manifest, service, findings);
  const key = headerOf(req.headers, 'idempotency-key');
  const createdMs =
    key === undefined ? nowMs : parseCreated('header Idempotency-Key', key, req.headers, findings);
  const idempotent = parseIdempotent(req, service.idempotent, findings);
  if (!findings.isEmpty) return err(findings.toError());
  const submission = create(SubmissionSchema, {
    ...common,
    action: Action.SUBMIT,
    service: service.name,
    kind: 'request',
    id: key ?? randomUUID(),
    createdMs: BigInt(createdMs),
    digest: digestOf([req.body]),
    inputs: [req.body],
    idempotent,
    waitMs: Math.min(common.deadlineMs || service.jobTimeoutMs, service.jobTimeoutMs),
  });
  return ok({ submission, keyed: key !== undefined });
}

function parseIdempotent(
  req: CallerRequest,
  fallback: boolean,
  findings: RequestFindings,
): boolean {
  const value = headerOf(req.headers, 'magnoliakeel-idempotent');
  if (value === undefined) return fallback;
  if (value === 'true' || value === 'false') return value === 'true';
  findings.add('header Magnoliakeel-Idempotent', `found "${value}", expected true or false`);
  return false;
}
