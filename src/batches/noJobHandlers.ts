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

/** The calls of entries that keep jobs, as an entry for batches answers them: it has none. */
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
