import { err, ok, type Result } from 'neverthrow';
import type Recording from './Recording';

type Row = readonly [number, number, number, number, number, readonly number[]];

/** Parses a recording; the error names the invalid line. */
export default function readRecording(text: string): Result<Recording, string> {
  const [head = '', ...lines] = text.split('\n').filter((line) => line !== '');
  const batches: Recording['batches'][number][] = [];
  try {
    const rest = JSON.parse(head) as Omit<Recording, 'batches'>;
    if (!Array.isArray(rest.queues)) return err('line 1: no queues');
    for (const [index, line] of lines.entries()) {
      const location = `line ${index + 2}`;
      const row: unknown = JSON.parse(line);
      if (!isRow(row)) return err(`${location}: not a batch`);
      const [atMs, entry, queue, cpuMilli, estimateMs, tasksMs] = row;
      if (!rest.queues[queue]) return err(`${location}: unknown queue ${queue}`);
      batches.push({ atMs, entry, queue, cpuMilli, estimateMs, tasksMs });
    }
    return ok({ ...rest, batches });
  } catch (error) {
    return err(`line ${batches.length + 1} or the next is not valid JSON: ${String(error)}`);
  }
}

function isRow(row: unknown): row is Row {
  if (!Array.isArray(row)) return false;
  const [tasks] = row.slice(-1) as unknown[];
  return row.length === 6 && Array.isArray(tasks) && row.slice(0, 5).every(Number.isFinite);
}
