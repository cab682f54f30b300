/**
 * The names that follow one's own when all are in a ring, at most `count`. Where each tells those after it,
 * everybody hears of everything, and the messages grow with the processes and not with their square.
 */
export default function ringSuccessors(
  own: string,
  others: Iterable<string>,
  count: number,
): ReadonlySet<string> {
  const sorted = [...new Set(others)].filter((name) => name !== own).sort();
  const after = sorted.filter((name) => name > own);
  const before = sorted.filter((name) => name < own);
  return new Set([...after, ...before].slice(0, count));
}
