import { create } from '@bufbuild/protobuf';
import {
  AnswerSchema,
  ClaimResponseSchema,
  ForwardResponseSchema,
  HandoverResponseSchema,
  InspectResponseSchema,
  Outcome,
  Role,
} from '../gen/magnoliakeel/v1/peer_pb';
import type PeerHandlers from '../link/PeerHandlers';

const REASON = 'this entry runs batches and keeps no jobs';

/** Handlers of the calls between entries that keep jobs; a batch entry has no jobs. */
const noJobHandlers: Omit<PeerHandlers, 'link'> = {
  forward: async () => {
    const value = create(AnswerSchema, { outcome: Outcome.NOT_RUN, reason: REASON });
    return create(ForwardResponseSchema, { result: { case: 'answer', value } });
  },
  claim: async () => create(ClaimResponseSchema, { stranger: true }),
  handover: async () => create(HandoverResponseSchema),
  inspect: async () => create(InspectResponseSchema, { role: Role.ENTRY }),
};

export default noJobHandlers;
