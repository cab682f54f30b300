import type SidecarPeer from './SidecarPeer';

/**
 * Finds the backend servers that should get no work: those that take far longer than the others, or
 * fail most of what they are given. It answers a few of them turning slow, hanging or failing at
 * once while their heartbeats stay good. They are compared with the middle one, since estimates may
 * be wrong for all alike, and never more than a third is shunned, since then it is the load and not
 * the backend servers. One that is slow as a machine is compared with what it takes while it is well.
 */
export default function findOutliers(
  peers: Iterable<SidecarPeer>,
  speeds: ReadonlyMap<SidecarPeer, number> = new Map(),
): ReadonlySet<SidecarPeer> {
  const all = [...peers].filter(({ isAccepting }) => isAccepting);
  const known = all.map(({ slowness }) => slowness).filter((value) => value !== undefined);
  const middle = known.sort((a, b) => a - b)[Math.floor(known.length / 2)] ?? 1;
  const badness = (peer: SidecarPeer): number =>
    peer.isFailing
      ? Infinity
      : (peer.slowness ?? middle) / middle / Math.max(1, speeds.get(peer) ?? 1);
  const bad = all.filter((peer) => badness(peer) >= SLOW);
  bad.sort((a, b) => badness(b) - badness(a));
  return new Set(bad.slice(0, Math.floor(all.length * MOST)));
}

/** Times the middle slowness from which a backend server is shunned; estimates are wrong by 40%. */
const SLOW = 3;

/** Largest share of backend servers that is shunned. */
const MOST = 0.34;
