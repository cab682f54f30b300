import type Batch from './Batch';
import type SidecarPeer from './SidecarPeer';

/**
 * How long a new batch would wait for room, ms: the work that goes before it at this entry, over
 * this entry's share of the backend servers. It answers bursts, in which holding everything makes
 * everything late. Other entries are taken to have as much to do as this one, because callers are
 * spread over them by chance. Nothing waits while there is room for it.
 */
export default function predictWait(
  ahead: readonly Batch[],
  peers: readonly SidecarPeer[],
  entries: number,
): number {
  const cores = peers.reduce((sum, { capacity }) => sum + capacity.cpuMilli, 0);
  if (cores === 0) return 0;
  const work = ahead.reduce((sum, batch) => sum + batch.waitingWork, 0);
  return (work / cores) * Math.max(1, entries);
}
