import { closest, distance } from 'fastest-levenshtein';

/** The known word that a mistyped one was probably meant to be, if any is near enough. */
export default function nearestWord(word: string, known: readonly string[]): string | undefined {
  if (known.length === 0) return undefined;
  const candidate = closest(word, known);
  const allowed = Math.max(2, Math.ceil(word.length / 3));
  return distance(word, candidate) <= allowed ? candidate : undefined;
}
