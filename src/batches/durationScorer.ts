import placementScore from '../placement/placementScore';
import type Batch from './Batch';
import type BatchTask from './BatchTask';
import durationRatiosOf from './durationRatiosOf';
import type SidecarPeer from './SidecarPeer';

interface Choice {
  readonly batch: Batch;
  readonly task: BatchTask;
  readonly peers: Iterable<SidecarPeer>;
  readonly machineRatios?: ReadonlyMap<SidecarPeer, number>;
  readonly remoteFactor?: number;
  readonly now: number;
}

/**
 * Scores backend servers by the duration of the task there, as a share of a backend server's
 * capacity. A batch is as late as its slowest task: once one of its tasks ends late, the others
 * need no fast machine any more. The score is 0 everywhere if all durations are the same.
 */
export default function durationScorer(choice: Choice): (peer: SidecarPeer) => number {
  const { batch, task, machineRatios = NO_RATIOS, remoteFactor, now } = choice;
  const { preferredLabel, estimateMs } = task.step;
  const hasLocality = preferredLabel !== '' && remoteFactor !== undefined;
  if (machineRatios.size === 0 && !hasLocality) return () => 0;
  const { targetAt, expiresAt } = batch;
  const conservesFastBackends = machineRatios.size > 0 && isFastCapacityShort(choice);
  return (peer) => {
    const { machine, distance } = durationRatiosOf(task, peer, choice);
    const durationRatio = machine * distance;
    const endsAt = Math.max(
      batch.expectedEndAt,
      now + estimateMs * durationRatio * (1 + DURATION_MARGIN),
    );
    return placementScore({
      endsAt,
      targetAt,
      expiresAt,
      durationRatio,
      conservesFastBackends,
    });
  };
}

/**
 * Whether the free capacity of the machines that are not slower than the mean is below the reserve
 * for a burst.
 */
function isFastCapacityShort({ peers, machineRatios = NO_RATIOS, batch }: Choice): boolean {
  const { service } = batch.submission.queue;
  let totalMilli = 0;
  let freeMilli = 0;
  [...peers].forEach((peer) => {
    if (peer.service !== service || (machineRatios.get(peer) ?? 1) > 1) return;
    totalMilli += peer.capacity.cpuMilli;
    freeMilli += peer.free.cpuMilli;
  });
  return freeMilli < totalMilli * FAST_RESERVE_SHARE;
}

const NO_RATIOS: NonNullable<Choice['machineRatios']> = new Map();

/**
 * Relative margin by which a task may take longer than expected: the tasks of one batch differ by
 * it.
 */
const DURATION_MARGIN = 0.15;

/**
 * Share of the fast capacity that is reserved for tasks that need it: a burst of twice the usual
 * work.
 */
const FAST_RESERVE_SHARE = 0.5;
