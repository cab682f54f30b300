import { create } from '@bufbuild/protobuf';
import { ClaimResponseSchema, HandoverResponseSchema, Role } from '../gen/magnoliakeel/v1/peer_pb';
import type Link from '../link/Link';
import type PeerHandlers from '../link/PeerHandlers';
import type PeerFacingEntry from './PeerFacingEntry';

/** Creates the handlers for processes that link to an entry or call it. */
export default function createPeerHandlers(entry: PeerFacingEntry): PeerHandlers {
  const never = new AbortController().signal;
  return {
    link: (link) => linkServers[link.peer.role](entry, link),
    forward: async ({ submission, view, configurationVersion }) => {
      if (view) entry.views.adopt(view);
      return entry.router.handleForwarded(submission!, configurationVersion, never);
    },
    claim: async ({ job, view, owner }) => {
      if (view) entry.views.adopt(view);
      if (owner !== entry.incarnation) return create(ClaimResponseSchema, { stranger: true });
      const held = entry.jobs.records.find(job) !== undefined;
      return create(ClaimResponseSchema, { held, ...entry.recovery.testimonyFor(job) });
    },
    handover: async ({ view, records }) => {
      if (view) entry.views.adopt(view);
      entry.jobs.records.import(records);
      entry.rosterBroadcaster.recordsImported(records);
      return create(HandoverResponseSchema);
    },
    inspect: async (req) => entry.inspect(req),
  };
}

const linkServers: Record<Role, (entry: PeerFacingEntry, link: Link) => Promise<void>> = {
  [Role.UNSPECIFIED]: async (_entry, link) => link.close(),
  [Role.ENTRY]: (entry, link) => entry.entryLinks.serve(link),
  [Role.SIDECAR]: (entry, link) => entry.sidecarLinks.serve(link),
};
