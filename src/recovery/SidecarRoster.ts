import { create } from '@bufbuild/protobuf';
import { type RosterItem, RosterItemSchema } from '../gen/magnoliakeel/v1/peer_pb';

/**
 * Every sidecar incarnation that may have started a task recently, as seen by
 * this entry or reported by others. Recovery needs a confirmation from each of
 * them, or the settlement of its loss.
 */
export default class SidecarRoster {
  private readonly items = new Map<string, RosterItem>();

  private constructor() {}

  /** Creates an empty roster. */
  static create(): SidecarRoster {
    return new SidecarRoster();
  }

  /** Merges items and returns those that were new. */
  merge(items: readonly RosterItem[]): RosterItem[] {
    return items.filter((item) => {
      const known = this.items.get(item.incarnation);
      if (known && known.seenMs >= item.seenMs) return false;
      this.items.set(item.incarnation, item);
      return true;
    });
  }

  /** Records a sighting by this entry, and returns the item to send to others. */
  recordSighting(sighting: Omit<RosterItem, '$typeName' | 'seenMs'>, wallMs: number): RosterItem {
    const known = this.items.get(sighting.incarnation);
    const seenMs = known && known.seenMs >= wallMs ? known.seenMs + 1n : BigInt(wallMs);
    const item = create(RosterItemSchema, { ...sighting, seenMs });
    this.items.set(item.incarnation, item);
    return item;
  }

  /** All items, to be sent to another entry. */
  all(): RosterItem[] {
    return [...this.items.values()];
  }

  /** Sidecars that may have started a task at or after a wall-clock time. */
  activeSince(wallMs: number): RosterItem[] {
    return this.all().filter((item) => !item.ended || Number(item.seenMs) >= wallMs);
  }

  /** Drops sidecars that ended before a wall-clock time. */
  expire(wallMs: number): void {
    this.items.forEach((item, incarnation) => {
      if (item.ended && Number(item.seenMs) < wallMs) this.items.delete(incarnation);
    });
  }
}
