import type SidecarPeer from './SidecarPeer';

/**
 * Outlier detection: finds the backend servers that should get no work, because they take far
 * longer than the others, or fail most of their tasks. This covers a few that turn slow, hang or
 * fail while their heartbeats stay good. They are compared with the median, since estimates may be
 * wrong for all alike, and at most a third is ejected, since beyond that the load is the cause and
 * not the backend servers. A machine that is inherently slow is compared with its own duration
 * ratio while healthy.
 */
export default function findOutliers(
  peers: Iterable<SidecarPeer>,
  machineRatios: ReadonlyMap<SidecarPeer, number> = new Map(),
): ReadonlySet<SidecarPeer> {
  const all = [...peers].filter(({ isAccepting }) => isAccepting);
  const known = all.map(({ slowness }) => slowness).filter((value) => value !== undefined);
  const median = known.sort((a, b) => a - b)[Math.floor(known.length / 2)] ?? 1;
  const severity = (peer: SidecarPeer): number =>
    peer.isFailing
      ? Infinity
      : (peer.slowness ?? median) / median / Math.max(1, machineRatios.get(peer) ?? 1);
  const outliers = all.filter((peer) => severity(peer) >= SLOW_RATIO);
  outliers.sort((a, b) => severity(b) - severity(a));
  return new Set(outliers.slice(0, Math.floor(all.length * MAX_EJECTED_SHARE)));
}

/**
 * Multiple of the median slowness from which a backend server is ejected; estimates are wrong by
 * 40%.
 */
const SLOW_RATIO = 3;

/** Largest share of backend servers that is ejected. */
const MAX_EJECTED_SHARE = 0.34;
