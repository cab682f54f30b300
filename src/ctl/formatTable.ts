/** Formats rows as a table with aligned columns; numbers are right-aligned. The first row is the header. */
export default function formatTable(rows: readonly (readonly (string | number)[])[]): string[] {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => String(row[column] ?? '').length)),
  );
  return rows.map((row) =>
    row
      .map((cell, column) => padCell(cell, widths[column]!))
      .join('  ')
      .trimEnd(),
  );
}

function padCell(cell: string | number, width: number): string {
  return typeof cell === 'number' ? String(cell).padStart(width) : cell.padEnd(width);
}
