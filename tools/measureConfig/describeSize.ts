import formatTable from '../../src/ctl/formatTable';
import type SizeResult from './SizeResult';

/** Formats the results for one number of processes as text for people. */
export default function describeSize(result: SizeResult): string[] {
  const rows = result.phases.map(({ phase, changes, p50, p99, max, missing }) => [
    ...[phase, changes, p50, p99, max, missing],
  ]);
  return [
    `${result.entries} entries and ${result.sidecars} sidecars`,
    ...formatTable([['PHASE', 'CHANGES', 'P50 MS', 'P99 MS', 'MAX MS', 'MISSING'], ...rows]),
    `reversions: ${result.reversions.length}; applies that came second: ${result.conflicts}`,
    `store calls of an entry: ${show(result.quietCalls)} a second in quiet, ${show(result.burstCalls)} for each change of the burst; of all sidecars: ${result.sidecarCalls}`,
    ...result.reversions,
    '',
  ];
}

function show(calls: Readonly<Record<string, number>>): string {
  const parts = Object.entries(calls).map(([kind, count]) => `${kind} ${count}`);
  return parts.length === 0 ? 'none' : parts.join(', ');
}
