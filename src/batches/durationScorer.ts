import placementScore from '../placement/placementScore';
import type Batch from './Batch';
import type BatchTask from './BatchTask';
import durationRatiosOf from './durationRatiosOf';
import type SidecarPeer from './SidecarPeer';

interface Choice {
  readonly batch: Batch;
  readonly task: BatchTask;
  readonly peers: Iterable<SidecarPeer>;
  readonly speeds?: ReadonlyMap<SidecarPeer, number>;
  readonly remoteFactor?: number;
  readonly now: number;
}

/**
 * What speaks for each place by the time that the task takes there, as a share of a backend server's room. A batch is
 * as late as its slowest task: once one of its tasks ends late, the others need no fast machine any more. Nothing
 * speaks for any place where work takes the same everywhere.
 */
export default function durationScorer(choice: Choice): (peer: SidecarPeer) => number {
  const { batch, task, speeds = ALIKE, remoteFactor, now } = choice;
  const { preferredLabel, estimateMs } = task.step;
  const isLocal = preferredLabel !== '' && remoteFactor !== undefined;
  if (speeds.size === 0 && !isLocal) return () => 0;
  const { targetAt: aimAt, expiresAt: uselessAt } = batch;
  const isThrifty = speeds.size > 0 && isFastRoomShort(choice);
  return (peer) => {
    const { machine: speed, distance: remote } = durationRatiosOf(task, peer, choice);
    const times = speed * remote;
    const endsAt = Math.max(batch.expectedEndAt, now + estimateMs * times * (1 + MARGIN));
    return placementScore({
      endsAt,
      targetAt: aimAt,
      expiresAt: uselessAt,
      durationRatio: times,
      conservesFastBackends: isThrifty,
    });
  };
}

/** Whether less is free where work does not go slower than in the middle than a burst takes. */
function isFastRoomShort({ peers, speeds = ALIKE, batch }: Choice): boolean {
  const { service } = batch.submission.queue;
  let total = 0;
  let left = 0;
  [...peers].forEach((peer) => {
    if (peer.service !== service || (speeds.get(peer) ?? 1) > 1) return;
    total += peer.capacity.cpuMilli;
    left += peer.free.cpuMilli;
  });
  return left < total * BURST_SHARE;
}

const ALIKE: NonNullable<Choice['speeds']> = new Map();

/** By how much more than is expected a task of a batch may take, in times: the tasks of one batch differ by it. */
const MARGIN = 0.15;

/** Share of the fast room that is kept free for what needs it: a burst of twice the usual work. */
const BURST_SHARE = 0.5;
