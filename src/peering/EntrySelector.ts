import murmurhash from 'murmurhash';
import ENTRIES_PER_SIDECAR from './ENTRIES_PER_SIDECAR';

/**
 * Selects the entries that a sidecar links to, by rendezvous hashing: each sidecar ranks all entries in
 * an order of its own and selects the first few reachable ones. So each entry has about the same number
 * of sidecars, and only few links change when an entry joins or leaves.
 */
export default class EntrySelector {
  private readonly unreachable = new Set<string>();

  private readonly seed: number;

  private constructor(instance: string) {
    this.seed = murmurhash.v3(instance, 0);
  }

  /** Creates the selector of a sidecar, whose ranking depends on its instance name. */
  static of(instance: string): EntrySelector {
    return new EntrySelector(instance);
  }

  /** Records whether an address was reached by a dial. Returns true if that changes the selection. */
  recordDial(address: string, isReached: boolean): boolean {
    if (isReached) return this.unreachable.delete(address);
    const isNew = !this.unreachable.has(address);
    this.unreachable.add(address);
    return isNew;
  }

  /** Returns the addresses to maintain links to, including unreachable ones that rank before the last selected one. */
  select(addresses: Iterable<string>): ReadonlySet<string> {
    const ranked = [...addresses].map((address) => ({
      address,
      weight: murmurhash.v3(address, this.seed),
    }));
    ranked.sort((a, b) => b.weight - a.weight || (a.address < b.address ? -1 : 1));
    const selected = new Set<string>();
    let reachableCount = 0;
    for (const { address } of ranked) {
      if (reachableCount >= ENTRIES_PER_SIDECAR) break;
      selected.add(address);
      if (!this.unreachable.has(address)) reachableCount += 1;
    }
    return selected;
  }
}
