/** Lays rows out in columns; numbers stand at the right of theirs. The first row is the head. */
export default function formatTable(rows: readonly (readonly (string | number)[])[]): string[] {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => String(row[column] ?? '').length)),
  );
  return rows.map((row) =>
    row
      .map((cell, column) => pad(cell, widths[column]!))
      .join('  ')
      .trimEnd(),
  );
}

function pad(cell: string | number, width: number): string {
  return typeof cell === 'number' ? String(cell).padStart(width) : cell.padEnd(width);
}
