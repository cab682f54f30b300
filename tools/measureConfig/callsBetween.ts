type Calls = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** Calls that some processes made between two counts, by kind, all together. */
export default function callsBetween(
  before: Calls,
  after: Calls,
  names: readonly string[],
): Record<string, number> {
  const totals: Record<string, number> = {};
  names.forEach((name) => {
    Object.entries(after[name] ?? {}).forEach(([kind, count]) => {
      const made = count - (before[name]?.[kind] ?? 0);
      if (made > 0) totals[kind] = (totals[kind] ?? 0) + made;
    });
  });
  return totals;
}
