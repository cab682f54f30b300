import syncVersions from '../membership/syncVersions';
import type MessageHandlers from '../link/MessageHandlers';
import type EntryMessageContext from './EntryMessageContext';

/** What an entry does with each kind of message from another entry. */
const entryMessageHandlers: MessageHandlers<EntryMessageContext & { readonly from: string }> = {
  view: ({ views }, view) => views.adopt(view),
  configuration: ({ configurations }, configuration) => configurations.adopt(configuration),
  heartbeat: (parts, heartbeat) => {
    const { dispatcher, entryLinks, from } = parts;
    dispatcher.entryLoads.update(from, heartbeat.loads);
    dispatcher.dispatchQueued();
    syncVersions({ ...parts, send: (message) => entryLinks.send(from, message) }, heartbeat);
  },
  borrow: ({ dispatcher, entryLinks, from }, borrow) => {
    entryLinks.send(from, { case: 'lend', value: dispatcher.handleBorrow(from, borrow) });
  },
  lend: ({ dispatcher, from }, lend) => dispatcher.handleLend(from, lend),
  roster: ({ recovery, sightings, from }, { items }) => {
    sightings.refuteEnded(recovery.mergeRoster(from, items));
  },
  settlement: ({ recovery }, settlement) => recovery.addSettlement(settlement),
};

export default entryMessageHandlers;
