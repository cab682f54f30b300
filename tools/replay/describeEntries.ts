import type EntryStatistics from './EntryStatistics';

/** Formats the statistics of entries as a table, a row for each entry. */
export default function describeEntries(
  statistics: ReturnType<EntryStatistics['summarize']>,
): string {
  const rows = statistics.map((summary) =>
    [
      ...[summary.batches, summary.onTime.toFixed(3), summary.longestBacklog, summary.waitMs],
      ...[summary.starvedMs, summary.starts, summary.refused],
    ].reduce<string>(
      (row, cell) => row + String(cell).padStart(9),
      `entry ${summary.entry}`.padEnd(10),
    ),
  );
  const head = ['batches', 'in aim', 'line', 'wait ms', 'starved', 'starts', 'no room'];
  const title = 'by entry'.padEnd(10) + head.map((cell) => cell.padStart(9)).join('');
  return `${[title, ...rows].join('\n')}\n`;
}
