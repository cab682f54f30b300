import { create } from '@bufbuild/protobuf';
import { ClaimResponseSchema, HandoverResponseSchema, Role } from '../gen/magnoliakeel/v1/peer_pb';
import type Link from '../link/Link';
import type PeerHandlers from '../link/PeerHandlers';
import type ServedEntry from './ServedEntry';

/** What an entry does for the processes that link to it and call it. */
export default function peerHandlersOf(entry: ServedEntry): PeerHandlers {
  const never = new AbortController().signal;
  return {
    link: (link) => linkServers[link.peer.role](entry, link),
    forward: async ({ submission, view, configurationVersion }) => {
      if (view) entry.views.adopt(view);
      return entry.router.forwarded(submission!, configurationVersion, never);
    },
    claim: async ({ job, view, owner }) => {
      if (view) entry.views.adopt(view);
      if (owner !== entry.incarnation) return create(ClaimResponseSchema, { stranger: true });
      const held = entry.jobs.holds(job);
      return create(ClaimResponseSchema, { held, ...entry.recovery.testify(job) });
    },
    handover: async ({ view, records }) => {
      if (view) entry.views.adopt(view);
      entry.jobs.takeOver(records);
      entry.sightings.took(records);
      return create(HandoverResponseSchema);
    },
    inspect: async (req) => entry.inspect(req),
  };
}

const linkServers: Record<Role, (entry: ServedEntry, link: Link) => Promise<void>> = {
  [Role.UNSPECIFIED]: async (_entry, link) => link.close(),
  [Role.ENTRY]: (entry, link) => entry.entryLinks.serve(link),
  [Role.SIDECAR]: (entry, link) => entry.sidecarLinks.serve(link),
};
