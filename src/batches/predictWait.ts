import type Batch from './Batch';
import type SidecarPeer from './SidecarPeer';

/**
 * How long the line at this entry lasts, ms: its work over this entry's share of the backend servers.
 * Callers that are refused are told to come back when it should be gone. Other entries are taken to have
 * as much to do as this one, because callers are spread over them by chance.
 */
export default function predictWait(
  line: readonly Batch[],
  peers: readonly SidecarPeer[],
  entries: number,
): number {
  const cores = peers.reduce((sum, { capacity }) => sum + capacity.cpuMilli, 0);
  if (cores === 0) return 0;
  const work = line.reduce((sum, batch) => sum + batch.readyWork, 0);
  return (work / cores) * Math.max(1, entries);
}
