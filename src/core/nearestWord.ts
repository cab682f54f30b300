import { closest, distance } from 'fastest-levenshtein';

/** The known word nearest to a mistyped one by edit distance, if any is close enough. */
export default function nearestWord(word: string, known: readonly string[]): string | undefined {
  if (known.length === 0) return undefined;
  const candidate = closest(word, known);
  const maxDistance = Math.max(2, Math.ceil(word.length / 3));
  return distance(word, candidate) <= maxDistance ? candidate : undefined;
}
