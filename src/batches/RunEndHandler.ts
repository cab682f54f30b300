import type TimerService from '../core/TimerService';
import { CrashRole, type RunEnd, RunOutcome } from '../gen/magnoliakeel/v1/peer_pb';
import type EventLog from '../observe/EventLog';
import type Metrics from '../observe/Metrics';
import type Batch from './Batch';
import type BatchPolicy from './BatchPolicy';
import type BatchEstimator from './BatchEstimator';
import type OpenBatches from './OpenBatches';
import type DispatchedRun from './DispatchedRun';
import type RecentCrashes from './RecentCrashes';
import type SidecarPeer from './SidecarPeer';

interface RunEndHandlerOptions {
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics?: Metrics;
  readonly batches: OpenBatches;
  readonly estimator: BatchEstimator;
  readonly crashes: RecentCrashes;
  /** Whether a task is failed, since too many backend servers have crashed under it. */
  readonly exceedsCrashLimit: BatchPolicy['exceedsCrashLimit'];
  /** Called for each batch of which a run was lost in a crash of its backend server. */
  readonly onCrash: (batch: Batch) => void;
  /** Called after each end of a run: there may now be free capacity for a waiting task. */
  readonly onEnd: () => void;
}

/**
 * Applies the ends of runs to their tasks and batches: a task is done, is retried, or has failed as
 * often as its queue allows.
 */
export default class RunEndHandler {
  private constructor(private readonly opts: RunEndHandlerOptions) {}

  /** Creates the handler of an entry. */
  static create(opts: RunEndHandlerOptions): RunEndHandler {
    return new RunEndHandler(opts);
  }

  /** Handles a sidecar's report that a run dispatched to it has ended. */
  handleReport(peer: SidecarPeer, end: RunEnd): void {
    const run = peer.removeEnded(end);
    if (!run) return;
    const { task } = run;
    task.attempt = Math.max(task.attempt, end.attempt + 1);
    // A sidecar of a later version may report an outcome that is unknown here. The run has ended in
    // any case.
    const outcome = end.outcome in RunEndHandler.outcomes ? end.outcome : RunOutcome.UNSPECIFIED;
    if (outcome === RunOutcome.REFUSED) peer.handleRefusal();
    this.handleEnd(run, peer, outcome, end.reason, end.crash, end.heldBackMs);
  }

  /** Handles a run that is known to have ended. */
  handleEnd(
    run: DispatchedRun,
    peer: SidecarPeer,
    outcome: RunOutcome,
    reason: string,
    crash = CrashRole.UNSPECIFIED,
    heldBackMs = 0,
  ): void {
    const { log, metrics, timer, crashes, onCrash, onEnd } = this.opts;
    const { batch, task } = run;
    const now = timer.now();
    metrics?.add('runs_over_total', 1, RunOutcome[outcome].toLowerCase());
    batch.runEnded();
    if (outcome !== RunOutcome.REFUSED) batch.mayHaveRun = true;
    if (crash !== CrashRole.UNSPECIFIED) {
      crashes.add(run, peer, crash);
      onCrash(batch);
    }
    if (outcome !== RunOutcome.DONE && !batch.answer) {
      log.info('a run gave no result', {
        request: batch.id,
        step: task.stepNumber,
        index: task.index,
        sidecar: peer.instance,
        outcome: RunOutcome[outcome],
        reason,
        afterMs: Math.round(now - run.dispatchedAt),
        crashes: task.crashes,
        suspicion: task.suspicion,
      });
    }
    if (!batch.answer) RunEndHandler.outcomes[outcome](this, run, peer, now - heldBackMs);
    onEnd();
  }

  private done(run: DispatchedRun, peer: SidecarPeer, now: number): void {
    const { batch, task } = run;
    this.opts.estimator.learn(run, peer, now);
    batch.completeTask(task, now);
    if (batch.answer) this.opts.batches.handleAnswer(batch, batch.answer);
  }

  private failed({ batch, task }: DispatchedRun, peer: SidecarPeer, now: number): void {
    task.failures += 1;
    task.failedAt.add(peer.instance);
    if (task.failures < batch.submission.queue.maxAttempts) {
      batch.requeue(task, now);
      return;
    }
    const reason = `a task failed ${task.failures} times`;
    this.opts.batches.finish(batch, { kind: 'failed', reason });
  }

  /**
   * Fails a batch if it cannot be done, since too many backend servers have crashed under one of
   * its tasks.
   */
  failIfCrashing(batch: Batch): void {
    const cause = batch.tasks.find((task) => this.opts.exceedsCrashLimit(task));
    if (!cause) return;
    const reason = `${cause.crashes} backend servers crashed under a task`;
    this.opts.batches.finish(batch, { kind: 'failed', reason });
  }

  private lost({ batch, task }: DispatchedRun, now: number): void {
    if (task.crashes > 0) this.failIfCrashing(batch);
    batch.requeue(task, now);
  }

  /** Handlers by the outcome of the run. */
  private static readonly outcomes: Readonly<
    Record<
      RunOutcome,
      (handler: RunEndHandler, run: DispatchedRun, peer: SidecarPeer, now: number) => void
    >
  > = {
    [RunOutcome.UNSPECIFIED]: (_ends, { batch, task }, _peer, now) => batch.requeue(task, now),
    [RunOutcome.DONE]: (handler, run, peer, now) => handler.done(run, peer, now),
    [RunOutcome.FAILED]: (handler, run, peer, now) => handler.failed(run, peer, now),
    [RunOutcome.LOST]: (handler, run, _peer, now) => handler.lost(run, now),
    [RunOutcome.REFUSED]: (_ends, { batch, task }, _peer, now) => batch.requeue(task, now),
  };
}
