import type Recording from './Recording';

/**
 * Formats a recording as text: a line of JSON with everything but the batches, then a line for each batch,
 * `[atMs, entry, queue, cpuMilli, estimateMs, [taskMs, ...]]`.
 */
export default function formatRecording({ batches, ...rest }: Recording): string {
  const rows = batches.map(({ atMs, entry, queue, cpuMilli, estimateMs, tasksMs }) =>
    JSON.stringify([atMs, entry, queue, cpuMilli, estimateMs, tasksMs]),
  );
  return `${[JSON.stringify(rest), ...rows].join('\n')}\n`;
}
