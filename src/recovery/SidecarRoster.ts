import { create } from '@bufbuild/protobuf';
import { type RosterItem, RosterItemSchema } from '../gen/magnoliakeel/v1/peer_pb';

/**
 * Every sidecar incarnation that may have started a task lately, as seen by
 * this entry or told by others. Recovery must hear from each of them or know
 * what its loss means.
 */
export default class SidecarRoster {
  private readonly items = new Map<string, RosterItem>();

  private constructor() {}

  /** Creates an empty roster. */
  static create(): SidecarRoster {
    return new SidecarRoster();
  }

  /** Takes items and returns those that told something new. */
  merge(items: readonly RosterItem[]): RosterItem[] {
    return items.filter((item) => {
      const known = this.items.get(item.incarnation);
      if (known && known.seenMs >= item.seenMs) return false;
      this.items.set(item.incarnation, item);
      return true;
    });
  }

  /** Notes what this entry sees itself, and returns the item to tell others. */
  recordSighting(sighting: Omit<RosterItem, '$typeName' | 'seenMs'>, wallMs: number): RosterItem {
    const known = this.items.get(sighting.incarnation);
    const seenMs = known && known.seenMs >= wallMs ? known.seenMs + 1n : BigInt(wallMs);
    const item = create(RosterItemSchema, { ...sighting, seenMs });
    this.items.set(item.incarnation, item);
    return item;
  }

  /** All items, for telling another entry. */
  all(): RosterItem[] {
    return [...this.items.values()];
  }

  /** Sidecars that may have started a task at or after a wall-clock time. */
  activeSince(wallMs: number): RosterItem[] {
    return this.all().filter((item) => !item.ended || Number(item.seenMs) >= wallMs);
  }

  /** Forgets sidecars that ended before a wall-clock time. */
  expire(wallMs: number): void {
    this.items.forEach((item, incarnation) => {
      if (item.ended && Number(item.seenMs) < wallMs) this.items.delete(incarnation);
    });
  }
}
