import murmurhash from 'murmurhash';
import ENTRIES_PER_SIDECAR from './ENTRIES_PER_SIDECAR';

/**
 * Chooses which entries a sidecar links to. By rendezvous hashing each sidecar has an order of its own
 * of all entries, and takes the first few that can be reached: so entries have about equal shares of
 * the sidecars, and when one comes or goes only few links change.
 */
export default class EntrySelector {
  private readonly unreachable = new Set<string>();

  private readonly seed: number;

  private constructor(instance: string) {
    this.seed = murmurhash.v3(instance, 0);
  }

  /** Creates the choice of a sidecar by its name. */
  static of(instance: string): EntrySelector {
    return new EntrySelector(instance);
  }

  /** Notes how a dial of an address went; true when that changes what is chosen. */
  recordDial(address: string, isReached: boolean): boolean {
    if (isReached) return this.unreachable.delete(address);
    const isNew = !this.unreachable.has(address);
    this.unreachable.add(address);
    return isNew;
  }

  /** Which addresses to keep links to, the one that cannot be reached now included. */
  select(addresses: Iterable<string>): ReadonlySet<string> {
    const ranked = [...addresses].map((address) => ({
      address,
      weight: murmurhash.v3(address, this.seed),
    }));
    ranked.sort((a, b) => b.weight - a.weight || (a.address < b.address ? -1 : 1));
    const chosen = new Set<string>();
    let reachable = 0;
    for (const { address } of ranked) {
      if (reachable >= ENTRIES_PER_SIDECAR) break;
      chosen.add(address);
      if (!this.unreachable.has(address)) reachable += 1;
    }
    return chosen;
  }
}
