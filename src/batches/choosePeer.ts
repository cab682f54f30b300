import type Batch from './Batch';
import type BatchTask from './BatchTask';
import type SidecarPeer from './SidecarPeer';

/**
 * Chooses where a task starts: among the sidecars that can take it now, the one where it is likely to
 * be done first. That is the fastest backend server, and among equals the emptiest: entries decide
 * at the same time with reports a few milliseconds old, and spreading over free room keeps them from
 * choosing the same place. The own availability zone counts for little, because crossing to another
 * costs a millisecond, and a refused start more.
 */
export default function choosePeer(
  batch: Batch,
  task: BatchTask,
  peers: Iterable<SidecarPeer>,
  zone: string,
): SidecarPeer | undefined {
  let best: SidecarPeer | undefined;
  let bestScore = -Infinity;
  [...peers].forEach((peer) => {
    if (!canTake(peer, batch, task)) return;
    const score = scoreOf(peer, task, zone);
    if (score <= bestScore) return;
    best = peer;
    bestScore = score;
  });
  return best;
}

function canTake(peer: SidecarPeer, batch: Batch, { step, stepNumber }: BatchTask): boolean {
  if (!peer.isUsable || peer.service !== batch.submission.queue.service) return false;
  if (step.label !== '' && !peer.labels.includes(step.label)) return false;
  if (!peer.free.holds(step.needs)) return false;
  return step.mostTogether === 0 || peer.together(batch, stepNumber) < step.mostTogether;
}

function scoreOf(peer: SidecarPeer, { step, failedAt }: BatchTask, zone: string): number {
  const freeShare = peer.free.cpuMilli / Math.max(1, peer.capacity.cpuMilli);
  const isPreferred = step.preferredLabel !== '' && peer.labels.includes(step.preferredLabel);
  return (
    freeShare +
    (peer.zone === zone ? OWN_ZONE : 0) +
    (isPreferred ? PREFERRED : 0) -
    (failedAt.has(peer.instance) ? FAILED_THERE : 0)
  );
}

/** Worth of the own availability zone, as a share of a backend server's room: about one task. */
const OWN_ZONE = 0.1;

/** Worth of the label where the task is faster; half as long again elsewhere is worse than any crowd. */
const PREFERRED = 2;

/** A task that failed somewhere goes elsewhere while there is anything else. */
const FAILED_THERE = 4;
