import { create } from '@bufbuild/protobuf';
import { EntriesSeenSchema, SeenEntrySchema } from '../gen/magnoliakeel/v1/peer_pb';
import type EntryLink from './EntryLink';

/**
 * Reports to each linked entry which others are alive, of those that claim batches. An entry that has lost its
 * link to another learns from it whether that entry is gone or still running.
 */
export default class LiveEntryReports {
  /** The report last sent to each entry. */
  private readonly sentReports = new Map<EntryLink, string>();

  private constructor(private readonly entryLinks: ReadonlySet<EntryLink>) {}

  /** Creates reports of which none was sent. */
  static of(entryLinks: ReadonlySet<EntryLink>): LiveEntryReports {
    return new LiveEntryReports(entryLinks);
  }

  /** Sends reports that have changed. Call it whenever an entry may have become confirmed or unresponsive. */
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
  removeEntry(entryLink: EntryLink): void {
    this.sentReports.delete(entryLink);
    this.sendChanges();
  }
}
