import type MessageHandlers from '../link/MessageHandlers';
import type PeerMessage from '../link/PeerMessage';
import syncVersions from '../membership/syncVersions';
import type EntryPeer from './EntryPeer';
import type SidecarParts from './SidecarParts';

/** The entry that a message came from, and what it acts on. */
interface Context {
  readonly parts: SidecarParts;
  readonly peer: EntryPeer;
}

/** What a sidecar does with each message of an entry; messages of other kinds are ignored. */
const messageHandlers: MessageHandlers<Context> = {
  heartbeat: ({ parts, peer }, heartbeat) => {
    const service = parts.lease.current?.service;
    const load = heartbeat.loads.find((each) => each.service === service);
    peer.hearWait(load?.oldestWaitMs ?? 0);
    const { view: views, configurations, heartbeat: own } = parts;
    const send = (message: PeerMessage) => peer.send(message);
    syncVersions({ views, configurations, send, heartbeat: own }, heartbeat);
  },
  view: ({ parts, peer }, view) => {
    const isFirst = !peer.hasSentView;
    peer.noteViewSent();
    const isNews = parts.view.adopt(view);
    const { number } = parts.view;
    if ((isFirst && !isNews) || !peer.wasFenced(number)) parts.evidence.fence(peer);
    parts.dropStrangers();
  },
  configuration: ({ parts }, configuration) => parts.putInForce(configuration),
  start: ({ parts, peer }, start) => parts.tasks.start(peer, start),
  cancel: ({ parts, peer }, cancel) => parts.tasks.cancel(peer, cancel.tasks),
  reconcile: ({ parts, peer }, reconcile) => parts.evidence.reconcile(peer, reconcile.tasks),
  adopt: ({ parts, peer }, adopt) => parts.evidence.adopt(peer, adopt),
  reclaim: ({ parts, peer }, reclaim) => parts.credits.reclaim(peer, reclaim.credits),
  goodbye: ({ parts, peer }) => {
    peer.noteLeaving();
    parts.credits.dropEntry(peer.incarnation);
  },
};

export default messageHandlers;
