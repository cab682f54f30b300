import murmurhash from 'murmurhash';
import claimLimits from './claimLimits';

/**
 * The entries that note who holds a batch, chosen among those given by rendezvous hashing: entries that know almost
 * the same others choose almost the same ones, and the notes are spread evenly.
 */
export default function chooseRegistrars(
  batch: string,
  entries: Iterable<string>,
): readonly string[] {
  const seed = murmurhash.v3(batch, 0);
  return [...entries]
    .map((entry) => ({ entry, weight: murmurhash.v3(entry, seed) }))
    .sort((a, b) => b.weight - a.weight || (a.entry < b.entry ? -1 : 1))
    .slice(0, claimLimits.registrars)
    .map(({ entry }) => entry);
}
