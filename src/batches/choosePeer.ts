import type Resources from '../room/Resources';
import needsExclusiveBackend from '../runs/needsExclusiveBackend';
import type Batch from './Batch';
import type BatchTask from './BatchTask';
import type SidecarPeer from './SidecarPeer';
import durationScorer from './durationScorer';

interface Choice {
  readonly batch: Batch;
  readonly task: BatchTask;
  readonly peers: Iterable<SidecarPeer>;
  /** Backend servers ejected as outliers, because they are slow or failing. */
  readonly ejected: ReadonlySet<SidecarPeer>;
  /** The availability zone of this entry. */
  readonly zone: string;
  /** Duration ratios, relative to the mean, of the machines that deviate from it. */
  readonly machineRatios?: ReadonlyMap<SidecarPeer, number>;
  /**
   * Factor by which a task takes longer away from its preferred label; undefined if operators have
   * not set one.
   */
  readonly remoteFactor?: number;
  readonly now: number;
}

/**
 * Chooses where a task starts: the sidecar with the most free capacity among those that can accept
 * it now. Entries decide concurrently, on capacity reports that are some milliseconds old;
 * spreading tasks over free capacity keeps them from picking the same backend server. The entry's
 * own availability zone has a small weight, because crossing to another one costs a millisecond,
 * and a refused start costs more.
 *
 * An ejected backend server gets one task at a time, with a pause in between, to probe whether it
 * has recovered.
 */
export default function choosePeer(choice: Choice): SidecarPeer | undefined {
  const durationScore = durationScorer(choice);
  let best: SidecarPeer | undefined;
  let bestScore = -Infinity;
  [...choice.peers].forEach((peer) => {
    const { free } = peer;
    if (!canAccept(peer, free, choice)) return;
    const score = scoreOf(peer, free, choice) + durationScore(peer);
    if (score <= bestScore) return;
    best = peer;
    bestScore = score;
  });
  return best;
}

function canAccept(
  peer: SidecarPeer,
  free: Resources,
  { batch, task, ejected, now }: Choice,
): boolean {
  const { step, stepNumber } = task;
  if (!peer.isUsable || peer.service !== batch.submission.queue.service) return false;
  if (step.label !== '' && !peer.labels.includes(step.label)) return false;
  if (!free.covers(step.needs)) return false;
  // With two crash suspects on one backend server, a crash could not be attributed to one of them.
  if (task.suspicion > 0 && peer.hasSuspect) return false;
  if (needsExclusiveBackend(task.suspicion) && !peer.isEmpty) return false;
  if (ejected.has(peer) && (peer.runs.size > 0 || now - peer.probedAt < PROBE_INTERVAL_MS))
    return false;
  return step.mostTogether === 0 || peer.runsOfStep(batch, stepNumber) < step.mostTogether;
}

function scoreOf(peer: SidecarPeer, free: Resources, choice: Choice): number {
  const { task, zone, remoteFactor } = choice;
  const { step, failedAt } = task;
  const freeShare = free.cpuMilli / Math.max(1, peer.capacity.cpuMilli);
  const isPreferred =
    remoteFactor === undefined &&
    step.preferredLabel !== '' &&
    peer.labels.includes(step.preferredLabel);
  return (
    freeShare +
    (peer.zone === zone ? SAME_ZONE_SCORE : 0) +
    (isPreferred ? PREFERRED_LABEL_SCORE : 0) -
    (failedAt.has(peer.instance) ? FAILED_BEFORE_PENALTY : 0)
  );
}

/**
 * Score for the entry's own availability zone, as a share of a backend server's capacity: about one
 * task.
 */
const SAME_ZONE_SCORE = 0.1;

/**
 * Score for the label where the task is faster: taking half as long again elsewhere is worse than
 * any load.
 */
const PREFERRED_LABEL_SCORE = 2;

/** Penalty for a backend server where the task has failed: it is used only if there is no other. */
const FAILED_BEFORE_PENALTY = 64;

/** Pause between two probes of an ejected backend server by one entry, ms. */
const PROBE_INTERVAL_MS = 1_500;
