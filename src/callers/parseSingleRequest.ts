import { randomUUID } from 'node:crypto';
import { create } from '@bufbuild/protobuf';
import { err, ok, type Result } from 'neverthrow';
import { Action, SubmissionSchema } from '../gen/magnoliakeel/v1/peer_pb';
import type Manifest from '../settings/Manifest';
import type CallerRequest from './CallerRequest';
import type CallerSubmission from './CallerSubmission';
import digestOf from './digestOf';
import headerOf from './headerOf';
import parseCommon from './parseCommon';
import parseCreated from './parseCreated';
import type RequestError from './RequestError';

/** Reads a single request: `POST /v1/services/{service}/requests`. */
export default function parseSingleRequest(
  req: CallerRequest,
  manifest: Manifest,
  nowMs: number,
): Result<CallerSubmission, RequestError> {
  const common = parseCommon(req, manifest);
  if (common.isErr()) return err(common.error);
  const { service, team, deadlineMs, traceparent } = common.value;
  if (req.body.length > service.maxTaskBytes) {
    const reason = `body: it has ${req.body.length} bytes, expected at most ${service.maxTaskBytes}`;
    return err({ status: 413, reason });
  }
  const key = headerOf(req.headers, 'idempotency-key');
  const created = key === undefined ? ok(nowMs) : parseCreated(key, req.headers);
  if (created.isErr()) return err(created.error);
  const idempotent = parseIdempotent(req, service.idempotent);
  if (idempotent.isErr()) return err(idempotent.error);
  const submission = create(SubmissionSchema, {
    action: Action.SUBMIT,
    service: service.name,
    kind: 'request',
    id: key ?? randomUUID(),
    team,
    createdMs: BigInt(created.value),
    digest: digestOf([req.body]),
    inputs: [req.body],
    idempotent: idempotent.value,
    deadlineMs,
    waitMs: deadlineMs || service.jobTimeoutMs,
    traceparent,
  });
  return ok({ submission, keyed: key !== undefined });
}

function parseIdempotent(req: CallerRequest, fallback: boolean): Result<boolean, RequestError> {
  const mark = headerOf(req.headers, 'magnoliakeel-idempotent');
  if (mark === undefined) return ok(fallback);
  if (mark === 'true' || mark === 'false') return ok(mark === 'true');
  const reason = `header Magnoliakeel-Idempotent: found "${mark}", expected true or false`;
  return err({ status: 400, reason });
}
