import type MessageHandlers from '../link/MessageHandlers';
import type PeerMessage from '../link/PeerMessage';
import syncVersions from '../membership/syncVersions';
import type LinkedEntry from './LinkedEntry';
import type SidecarMessageContext from './SidecarMessageContext';

/** The entry that sent a message, and the sidecar's parts that the handlers use. */
interface HandlerContext {
  readonly context: SidecarMessageContext;
  readonly peer: LinkedEntry;
}

/** Handles each kind of message that entries send to a sidecar; other kinds are ignored. */
const sidecarMessageHandlers: MessageHandlers<HandlerContext> = {
  heartbeat: ({ context, peer }, heartbeat) => {
    const service = context.lease.current?.service;
    const load = heartbeat.loads.find((each) => each.service === service);
    peer.recordOldestWait(load?.oldestWaitMs ?? 0);
    const { view: views, configurations, heartbeat: ownHeartbeat } = context;
    const send = (message: PeerMessage) => peer.send(message);
    syncVersions({ views, configurations, send, heartbeat: ownHeartbeat }, heartbeat);
  },
  view: ({ context, peer }, view) => {
    const isFirst = !peer.hasReportedView;
    peer.markViewReported();
    const isNewer = context.view.adopt(view);
    const { number } = context.view;
    if ((isFirst && !isNewer) || !peer.hasConfirmedView(number))
      context.responder.confirmView(peer);
    context.closeNonMemberLinks();
  },
  configuration: ({ context }, configuration) => context.applyConfiguration(configuration),
  start: ({ context, peer }, start) => context.taskRunner.handleStart(peer, start),
  cancel: ({ context, peer }, cancel) => context.taskRunner.handleCancel(peer, cancel.tasks),
  reconcile: ({ context, peer }, reconcile) => context.responder.reconcile(peer, reconcile.tasks),
  adopt: ({ context, peer }, adopt) => context.responder.adopt(peer, adopt),
  reclaim: ({ context, peer }, reclaim) => context.credits.reclaim(peer, reclaim.credits),
  goodbye: ({ context, peer }) => {
    peer.markLeaving();
    context.credits.removeEntry(peer.incarnation);
  },
};

export default sidecarMessageHandlers;
