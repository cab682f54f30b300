import type Outcome from './Outcome';

/** Formats outcomes as a table, a row for each queue and one for all. */
export default function describeReplay(name: string, outcomes: readonly Outcome[]): string {
  const rows = outcomes.map(({ queue, batches, onTime, late, refused, rest, worth }) =>
    [queue, batches, onTime, late, refused, rest, worth.toFixed(3)]
      .map((cell, at) => (at === 0 ? String(cell).padEnd(10) : String(cell).padStart(9)))
      .join(''),
  );
  const head = ['batches', 'in aim', 'late', 'refused', 'rest', 'worth'];
  const title = name.padEnd(10) + head.map((cell) => cell.padStart(9)).join('');
  return `${[title, ...rows].join('\n')}\n`;
}
