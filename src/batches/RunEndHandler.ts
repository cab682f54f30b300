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

interface RunEndsOptions {
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics?: Metrics;
  readonly batches: OpenBatches;
  readonly expectations: BatchEstimator;
  readonly crashes: RecentCrashes;
  /** Whether a task is given up, since backend servers crash under it. */
  readonly giveUp: BatchPolicy['exceedsCrashLimit'];
  /** Told of each batch of which a run was at a backend server that has crashed. */
  readonly crashed: (batch: Batch) => void;
  /** Told after each end: there may be room, and a task that waits for it. */
  readonly ended: () => void;
}

/**
 * What becomes of tasks and batches when runs end: a task is done, tried again, or has failed as often
 * as its queue allows.
 */
export default class RunEndHandler {
  private constructor(private readonly opts: RunEndsOptions) {}

  /** Creates the ends of an entry's runs. */
  static create(opts: RunEndsOptions): RunEndHandler {
    return new RunEndHandler(opts);
  }

  /** A sidecar reports the end of a run that was ordered there. */
  handleReport(peer: SidecarPeer, end: RunEnd): void {
    const run = peer.removeEnded(end);
    if (!run) return;
    const { task } = run;
    task.attempt = Math.max(task.attempt, end.attempt + 1);
    // A sidecar of a later version may have another word; that the run is over is certain all the same.
    const outcome = end.outcome in RunEndHandler.outcomes ? end.outcome : RunOutcome.UNSPECIFIED;
    if (outcome === RunOutcome.REFUSED) peer.handleRefusal();
    this.handleEnd(run, peer, outcome, end.reason, end.crash, end.heldBackMs);
  }

  /** A run is certainly over. */
  handleEnd(
    run: DispatchedRun,
    peer: SidecarPeer,
    outcome: RunOutcome,
    reason: string,
    crash = CrashRole.UNSPECIFIED,
    heldBackMs = 0,
  ): void {
    const { log, metrics, timer, crashes, crashed, ended } = this.opts;
    const { batch, task } = run;
    const now = timer.now();
    metrics?.add('runs_over_total', 1, RunOutcome[outcome].toLowerCase());
    batch.runEnded();
    if (outcome !== RunOutcome.REFUSED) batch.mayHaveRun = true;
    if (crash !== CrashRole.UNSPECIFIED) {
      crashes.add(run, peer, crash);
      crashed(batch);
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
    ended();
  }

  private done(run: DispatchedRun, peer: SidecarPeer, now: number): void {
    const { batch, task } = run;
    this.opts.expectations.learn(run, peer, now);
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

  /** Answers a batch that cannot be done, since backend servers crash under one of its tasks. */
  failIfCrashing(batch: Batch): void {
    const cause = batch.tasks.find((task) => this.opts.giveUp(task));
    if (!cause) return;
    const reason = `${cause.crashes} backend servers crashed under a task`;
    this.opts.batches.finish(batch, { kind: 'failed', reason });
  }

  private lost({ batch, task }: DispatchedRun, now: number): void {
    if (task.crashes > 0) this.failIfCrashing(batch);
    batch.requeue(task, now);
  }

  /** What becomes of a task, by how its run ended. */
  private static readonly outcomes: Readonly<
    Record<
      RunOutcome,
      (ends: RunEndHandler, run: DispatchedRun, peer: SidecarPeer, now: number) => void
    >
  > = {
    [RunOutcome.UNSPECIFIED]: (_ends, { batch, task }, _peer, now) => batch.requeue(task, now),
    [RunOutcome.DONE]: (ends, run, peer, now) => ends.done(run, peer, now),
    [RunOutcome.FAILED]: (ends, run, peer, now) => ends.failed(run, peer, now),
    [RunOutcome.LOST]: (ends, run, _peer, now) => ends.lost(run, now),
    [RunOutcome.REFUSED]: (_ends, { batch, task }, _peer, now) => batch.requeue(task, now),
  };
}
