import murmurhash from 'murmurhash';
import claimLimits from './claimLimits';

/**
 * Chooses the entries that record who holds a batch, by rendezvous hashing: entries whose membership lists differ
 * slightly choose nearly the same registrars, and the records are spread evenly.
 */
export default function chooseRegistrars(
  batch: string,
  entries: Iterable<string>,
): readonly string[] {
  const seed = murmurhash.v3(batch, 0);
  return [...entries]
    .map((entry) => ({ entry, weight: murmurhash.v3(entry, seed) }))
    .sort((a, b) => b.weight - a.weight || (a.entry < b.entry ? -1 : 1))
    .slice(0, claimLimits.registrarCount)
    .map(({ entry }) => entry);
}
