import type MessageHandlers from '../link/MessageHandlers';
import type EntryParts from './EntryParts';

/** What an entry does with each kind of message from another entry. */
const entryMessageHandlers: MessageHandlers<EntryParts & { readonly from: string }> = {
  view: ({ views }, view) => views.adopt(view),
  configuration: ({ configurations }, configuration) => configurations.adopt(configuration),
  heartbeat: ({ dispatcher, from }, { loads }) => {
    dispatcher.loads.heard(from, loads);
    dispatcher.pumpAll();
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
