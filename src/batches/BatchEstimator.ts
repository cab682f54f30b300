import type BatchPolicy from './BatchPolicy';
import type BatchSubmission from './BatchSubmission';
import SpentTimeModel from './SpentTimeModel';
import DurationModel from './DurationModel';
import type DispatchedRun from './DispatchedRun';
import type SidecarPeer from './SidecarPeer';

/**
 * Estimates what the caller does not say about a batch: how long its tasks take, and how much of
 * the caller's time is already spent. Both are learned from earlier batches of the same queue.
 */
export default class BatchEstimator {
  private readonly durations = DurationModel.create();

  private readonly spentTime = SpentTimeModel.create();

  private constructor(private readonly policy: BatchPolicy) {}

  /** Creates an estimator without any history. */
  static create(policy: BatchPolicy): BatchEstimator {
    return new BatchEstimator(policy);
  }

  /** Adds the estimates to a submission; the caller's own estimate is kept as `statedMs`. */
  addEstimates(submission: BatchSubmission): BatchSubmission {
    const { queue, waitMs, ageMs = 0 } = submission;
    const { name } = queue;
    const spentMs = this.policy.estimateSpent(this.spentTime, name, ageMs + waitMs);
    const steps = submission.steps.map((step) => ({
      ...step,
      statedMs: step.estimateMs,
      estimateMs: this.policy.predictDuration(this.durations, name, step.estimateMs),
    }));
    return { ...submission, steps, spentMs };
  }

  /**
   * Learns from a completed run, normalised to a backend server of average speed close to the
   * task's data. Runs on a degraded backend server are skipped, because they say nothing about the
   * task.
   */
  learn(
    { batch, task, dispatchedAt, durationRatios }: DispatchedRun,
    peer: SidecarPeer,
    now: number,
  ): void {
    if ((peer.slowness ?? 1) / Math.max(1, durationRatios.machine) >= SLOW_RATIO) return;
    const { statedMs, estimateMs } = task.step;
    const tookMs = (now - dispatchedAt) / (durationRatios.machine * durationRatios.distance);
    this.durations.learn(batch.submission.queue.name, statedMs ?? estimateMs, tookMs);
  }
}

/**
 * Runs are ignored where the ratio of actual duration to estimate is this high beyond the machine's
 * own ratio.
 */
const SLOW_RATIO = 2;
