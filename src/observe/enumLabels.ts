/** Metric labels for the values of an enumeration: their names in lower case, by number. */
export default function enumLabels(
  values: Readonly<Record<string, string | number>>,
): Readonly<Record<number, string>> {
  const names = Object.entries(values).filter(([, value]) => typeof value === 'number');
  return Object.fromEntries(names.map(([name, value]) => [value, name.toLowerCase()]));
}
