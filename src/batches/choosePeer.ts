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
  /** Backend servers that are slow or failing. */
  readonly shunned: ReadonlySet<SidecarPeer>;
  /** The availability zone of this entry. */
  readonly zone: string;
  /** Times the middle that work takes at the backend servers that are unlike the others, if any is. */
  readonly speeds?: ReadonlyMap<SidecarPeer, number>;
  /** Times that a task takes away from the label that it prefers; undefined while operators don't say. */
  readonly remoteFactor?: number;
  readonly now: number;
}

/**
 * Chooses where a task starts: among the sidecars that can take it now, the emptiest. Entries decide
 * at the same time with reports some milliseconds old, and spreading over free room keeps them from
 * choosing the same place. The own availability zone counts for little, because crossing to another
 * costs a millisecond, and a refused start more.
 *
 * A shunned backend server gets single tasks with a pause between them, by which its return shows.
 */
export default function choosePeer(choice: Choice): SidecarPeer | undefined {
  const speedScore = durationScorer(choice);
  let best: SidecarPeer | undefined;
  let bestScore = -Infinity;
  [...choice.peers].forEach((peer) => {
    const { free } = peer;
    if (!canTake(peer, free, choice)) return;
    const score = scoreOf(peer, free, choice) + speedScore(peer);
    if (score <= bestScore) return;
    best = peer;
    bestScore = score;
  });
  return best;
}

function canTake(
  peer: SidecarPeer,
  free: Resources,
  { batch, task, shunned, now }: Choice,
): boolean {
  const { step, stepNumber } = task;
  if (!peer.isUsable || peer.service !== batch.submission.queue.service) return false;
  if (step.label !== '' && !peer.labels.includes(step.label)) return false;
  if (!free.covers(step.needs)) return false;
  // Of two suspects at one backend server it could not be told which one has crashed it.
  if (task.suspicion > 0 && peer.hasSuspect) return false;
  if (needsExclusiveBackend(task.suspicion) && !peer.isEmpty) return false;
  if (shunned.has(peer) && (peer.runs.size > 0 || now - peer.probedAt < TRIAL_MS)) return false;
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
const FAILED_THERE = 64;

/** Pause between tasks that are tried on a shunned backend server, ms, by each entry. */
const TRIAL_MS = 1_500;
