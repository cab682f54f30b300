import catchUp from '../membership/catchUp';
import type MessageHandlers from '../link/MessageHandlers';
import type EntryParts from './EntryParts';

/** What an entry does with each kind of message from another entry. */
const entryMessageHandlers: MessageHandlers<EntryParts & { readonly from: string }> = {
  view: ({ views }, view) => views.adopt(view),
  configuration: ({ configurations }, configuration) => configurations.adopt(configuration),
  heartbeat: (parts, heartbeat) => {
    const { dispatcher, entryLinks, from } = parts;
    dispatcher.loads.heard(from, heartbeat.loads);
    dispatcher.pumpAll();
    catchUp({ ...parts, send: (message) => entryLinks.send(from, message) }, heartbeat);
  },
  borrow: ({ dispatcher, entryLinks, from }, borrow) => {
    entryLinks.send(from, { case: 'lend', value: dispatcher.borrowed(from, borrow) });
  },
  lend: ({ dispatcher, from }, lend) => dispatcher.lent(from, lend),
  roster: ({ recovery, sightings, from }, { items }) => {
    sightings.correct(recovery.informed(from, items));
  },
  settlement: ({ recovery }, settlement) => recovery.settled(settlement),
};

export default entryMessageHandlers;
