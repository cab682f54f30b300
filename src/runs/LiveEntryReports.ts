import { create } from '@bufbuild/protobuf';
import { EntriesSeenSchema, SeenEntrySchema } from '../gen/magnoliakeel/v1/peer_pb';
import type EntryLink from './EntryLink';

/**
 * Tells each linked entry which others are awake, of those that claim batches. An entry that has lost its link to
 * another learns by it whether that is gone, or goes on beside it.
 */
export default class LiveEntryReports {
  /** What each entry was told last. */
  private readonly sentReports = new Map<EntryLink, string>();

  private constructor(private readonly entryLinks: ReadonlySet<EntryLink>) {}

  /** Creates one that has told nobody. */
  static of(owners: ReadonlySet<EntryLink>): LiveEntryReports {
    return new LiveEntryReports(owners);
  }

  /** To be called whenever an entry may have become confirmed or silent: tells what is news. */
  sendChanges(): void {
    const alive = [...this.entryLinks].filter((each) => each.isConfirmed && each.link.peer.claims);
    const entries = new Map(alive.map(({ incarnation, link }) => [incarnation, link.peer]));
    this.entryLinks.forEach((entryLink) => {
      const others = [...entries].filter(([incarnation]) => incarnation !== entryLink.incarnation);
      const text = others.map(([incarnation]) => incarnation).join();
      if (!entryLink.isConfirmed || text === this.sentReports.get(entryLink)) return;
      this.sentReports.set(entryLink, text);
      const seen = others.map(([, { instance, incarnation }]) =>
        create(SeenEntrySchema, { instance, incarnation }),
      );
      const value = create(EntriesSeenSchema, { entries: seen });
      entryLink.link.send({ case: 'entriesSeen', value });
    });
  }

  /** The link to an entry has ended. */
  forget(entryLink: EntryLink): void {
    this.sentReports.delete(entryLink);
    this.sendChanges();
  }
}
