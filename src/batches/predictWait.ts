import type Batch from './Batch';
import type SidecarPeer from './SidecarPeer';

/**
 * Expected time until this entry's backlog is gone, ms: its work over this entry's share of the
 * backend servers. Refused callers are told to retry after it. Other entries are presumed to have
 * as much work as this one, because callers are spread over them at random.
 */
export default function predictWait(
  backlog: readonly Batch[],
  peers: readonly SidecarPeer[],
  entries: number,
): number {
  const cores = peers.reduce((sum, { capacity }) => sum + capacity.cpuMilli, 0);
  if (cores === 0) return 0;
  const work = backlog.reduce((sum, batch) => sum + batch.readyWork, 0);
  return (work / cores) * Math.max(1, entries);
}
