import { create } from '@bufbuild/protobuf';
import { EntriesSeenSchema, SeenEntrySchema } from '../gen/magnoliakeel/v1/peer_pb';
import type EntryLink from './EntryLink';

/**
 * Tells each linked entry which others are awake, of those that claim batches. An entry that has lost its link to
 * another learns by it whether that is gone, or goes on beside it.
 */
export default class LiveEntryReports {
  /** What each entry was told last. */
  private readonly told = new Map<EntryLink, string>();

  private constructor(private readonly owners: ReadonlySet<EntryLink>) {}

  /** Creates one that has told nobody. */
  static of(owners: ReadonlySet<EntryLink>): LiveEntryReports {
    return new LiveEntryReports(owners);
  }

  /** To be called whenever an entry may have become confirmed or silent: tells what is news. */
  sendChanges(): void {
    const awake = [...this.owners].filter((each) => each.isConfirmed && each.link.peer.claims);
    const entries = new Map(awake.map(({ incarnation, link }) => [incarnation, link.peer]));
    this.owners.forEach((owner) => {
      const others = [...entries].filter(([incarnation]) => incarnation !== owner.incarnation);
      const text = others.map(([incarnation]) => incarnation).join();
      if (!owner.isConfirmed || text === this.told.get(owner)) return;
      this.told.set(owner, text);
      const seen = others.map(([, { instance, incarnation }]) =>
        create(SeenEntrySchema, { instance, incarnation }),
      );
      const value = create(EntriesSeenSchema, { entries: seen });
      owner.link.send({ case: 'entriesSeen', value });
    });
  }

  /** The link to an entry has ended. */
  forget(owner: EntryLink): void {
    this.told.delete(owner);
    this.sendChanges();
  }
}
