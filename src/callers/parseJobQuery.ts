import { create } from '@bufbuild/protobuf';
import { err, ok } from 'neverthrow';
import { type Action, SubmissionSchema } from '../gen/magnoliakeel/v1/peer_pb';
import parseCommon from './parseCommon';
import parseCreated from './parseCreated';
import type Route from './Route';

/** Makes the parser of requests that ask about a job by its id or cancel it. */
export default function parseJobQuery(action: Action): Route['parse'] {
  return (req, manifest) => {
    const id = req.names[1]!;
    const common = parseCommon(req, manifest);
    if (common.isErr()) return err(common.error);
    const created = parseCreated(id, req.headers);
    if (created.isErr()) return err(created.error);
    const { service, waitMs, traceparent } = common.value;
    const submission = create(SubmissionSchema, {
      action,
      service: service.name,
      kind: 'job',
      id,
      createdMs: BigInt(created.value),
      waitMs,
      traceparent,
    });
    return ok({ submission, keyed: true });
  };
}
