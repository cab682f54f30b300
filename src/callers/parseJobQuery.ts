import { create } from '@bufbuild/protobuf';
import { err, ok } from 'neverthrow';
import { type Action, SubmissionSchema } from '../gen/magnoliakeel/v1/peer_pb';
import findService from './findService';
import parseCommon from './parseCommon';
import parseCreated from './parseCreated';
import RequestFindings from './RequestFindings';
import type Route from './Route';

/** Creates the parser for requests that look up or cancel a job by its id. */
export default function parseJobQuery(action: Action): Route['parse'] {
  return (req, manifest) => {
    const service = findService(req, manifest);
    if (service.isErr()) return err(service.error);
    const id = req.pathParameters[1]!;
    const findings = RequestFindings.create();
    const { waitMs, traceparent } = parseCommon(req, manifest, service.value, findings);
    const createdMs = parseCreated('id', id, req.headers, findings);
    if (!findings.isEmpty) return err(findings.toError());
    const submission = create(SubmissionSchema, {
      action,
      service: service.value.name,
      kind: 'job',
      id,
      createdMs: BigInt(createdMs),
      waitMs,
      traceparent,
    });
    return ok({ submission, keyed: true });
  };
}
