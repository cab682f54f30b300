import syncVersions from '../membership/syncVersions';
import type MessageHandlers from '../link/MessageHandlers';
import type EntryMessageContext from './EntryMessageContext';

/** Handlers of the messages from other entries. */
const entryMessageHandlers: MessageHandlers<EntryMessageContext & { readonly from: string }> = {
  view: ({ views }, view) => views.adopt(view),
  configuration: ({ configurations }, configuration) => configurations.adopt(configuration),
  heartbeat: (context, heartbeat) => {
    const { dispatcher, entryLinks, from } = context;
    dispatcher.entryLoads.update(from, heartbeat.loads);
    dispatcher.dispatchQueued();
    syncVersions({ ...context, send: (message) => entryLinks.send(from, message) }, heartbeat);
  },
  borrow: ({ dispatcher, entryLinks, from }, borrow) => {
    entryLinks.send(from, { case: 'lend', value: dispatcher.handleBorrow(from, borrow) });
  },
  lend: ({ dispatcher, from }, lend) => dispatcher.handleLend(from, lend),
  roster: ({ recovery, rosterBroadcaster, from }, { items }) => {
    rosterBroadcaster.refuteEnded(recovery.mergeRoster(from, items));
  },
  settlement: ({ recovery }, settlement) => recovery.addSettlement(settlement),
};

export default entryMessageHandlers;
