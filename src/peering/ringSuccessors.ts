/**
 * Returns at most `count` names that follow `own` when all names are sorted into a ring. If each process forwards
 * to its successors, every process receives everything, and the number of messages grows linearly with the
 * processes instead of quadratically.
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
