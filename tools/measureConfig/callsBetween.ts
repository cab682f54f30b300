type Calls = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** Number of calls that the named processes made between two readings, by kind. */
export default function callsBetween(
  before: Calls,
  after: Calls,
  names: readonly string[],
): Record<string, number> {
  const totals: Record<string, number> = {};
  names.forEach((name) => {
    Object.entries(after[name] ?? {}).forEach(([kind, count]) => {
      const newCalls = count - (before[name]?.[kind] ?? 0);
      if (newCalls > 0) totals[kind] = (totals[kind] ?? 0) + newCalls;
    });
  });
  return totals;
}
