import type BatchPolicy from './BatchPolicy';
import type BatchSubmission from './BatchSubmission';
import SpentTimeModel from './SpentTimeModel';
import DurationModel from './DurationModel';
import type DispatchedRun from './DispatchedRun';
import type SidecarPeer from './SidecarPeer';

/**
 * What an entry expects of a batch beyond what its caller says: how long its tasks take, and how much of
 * its caller's time is over. Both are learned from the batches of the same queue.
 */
export default class BatchEstimator {
  private readonly durations = DurationModel.create();

  private readonly patience = SpentTimeModel.create();

  private constructor(private readonly policy: BatchPolicy) {}

  /** Creates the expectations of an entry that has seen no batch. */
  static create(policy: BatchPolicy): BatchEstimator {
    return new BatchEstimator(policy);
  }

  /** The submission with what is expected of it; what the caller said of its tasks is kept beside that. */
  addEstimates(submission: BatchSubmission): BatchSubmission {
    const { queue, waitMs, ageMs = 0 } = submission;
    const { name } = queue;
    const spentMs = this.policy.estimateSpent(this.patience, name, ageMs + waitMs);
    const steps = submission.steps.map((step) => ({
      ...step,
      statedMs: step.estimateMs,
      estimateMs: this.policy.predictDuration(this.durations, name, step.estimateMs),
    }));
    return { ...submission, steps, spentMs };
  }

  /**
   * A run is done. What it would have taken on a middling backend server near its data is learned; at one that is ill
   * it says nothing of its task.
   */
  learn(
    { batch, task, dispatchedAt: orderedAt, durationRatios: there }: DispatchedRun,
    peer: SidecarPeer,
    now: number,
  ): void {
    if ((peer.slowness ?? 1) / Math.max(1, there.machine) >= SLOW) return;
    const { statedMs, estimateMs } = task.step;
    const tookMs = (now - orderedAt) / (there.machine * there.distance);
    this.durations.learn(batch.submission.queue.name, statedMs ?? estimateMs, tookMs);
  }
}

/** Times the estimates that runs take at a backend server from which it counts as slow here. */
const SLOW = 2;
