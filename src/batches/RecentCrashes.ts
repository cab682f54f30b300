import type TimerService from '../core/TimerService';
import { CrashRole } from '../gen/magnoliakeel/v1/peer_pb';
import type EventLog from '../observe/EventLog';
import type Metrics from '../observe/Metrics';
import type BatchPolicy from './BatchPolicy';
import type BatchTask from './BatchTask';
import type CrashedRun from './CrashedRun';
import type DispatchedRun from './DispatchedRun';
import type SidecarPeer from './SidecarPeer';

interface RecentCrashesOptions {
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics?: Metrics;
  /** Attributes crashes that happened at about the same time. */
  readonly attributeCrashes: BatchPolicy['attributeCrashes'];
}

/**
 * The runs that were lost in the most recent crashes of backend servers, and which are suspected.
 * The reports of several crashes arrive one by one, before it is known that there are several, so a
 * suspicion is withdrawn afterwards. It is restored by the next crash of which the task is the
 * likeliest cause, or when a later report shows that its batch may be the cause.
 */
export default class RecentCrashes {
  private runs: readonly CrashedRun[] = [];

  /** When a suspicion was last withdrawn, by the timer service. */
  private withdrawnAt = -Infinity;

  private constructor(private readonly opts: RecentCrashesOptions) {}

  /** Creates an instance without crashes. */
  static create(opts: RecentCrashesOptions): RecentCrashes {
    return new RecentCrashes(opts);
  }

  /**
   * Records a run that was lost in a crash: its task avoids that sidecar while there are others.
   */
  add({ batch, task }: DispatchedRun, { instance: sidecar }: SidecarPeer, role: CrashRole): void {
    const at = this.opts.timer.now();
    const isFirst = task.crashes === 0;
    task.crashes += 1;
    task.failedAt.add(sidecar);
    if (role === CrashRole.SUSPECT) {
      task.suspicion += 1;
      restoreSuspicion(task);
    }
    const recent = this.runs.filter((run) => at - run.at <= WINDOW_MS);
    this.runs = [...recent, { sidecar, batch, task, at, isFirst }];
    const { excused, blamed } = this.opts.attributeCrashes(this.runs);
    blamed.forEach((run) => restoreSuspicion(run.task));
    this.withdrawSuspicion(excused, at);
  }

  private withdrawSuspicion(excused: readonly CrashedRun[], now: number): void {
    const suspects = excused.filter(({ task }) => task.suspicion > 0);
    if (suspects.length === 0) return;
    suspects.forEach(({ task }) => {
      task.excused += task.suspicion;
      task.suspicion = 0;
    });
    this.opts.metrics?.add('crash_suspicions_lifted_total', suspects.length);
    if (now - this.withdrawnAt > WINDOW_MS) this.logCommonCause();
    this.withdrawnAt = now;
  }

  private logCommonCause(): void {
    const sidecars = [...new Set(this.runs.map(({ sidecar }) => sidecar))];
    this.opts.log.warn('several backend servers crashed together: their runs are not suspected', {
      sidecars,
      runs: this.runs.length,
      suspects: this.runs.filter(({ task }) => task.suspicion > 0).length,
    });
  }
}

/** Restores a withdrawn suspicion. */
function restoreSuspicion(task: BatchTask): void {
  task.suspicion += task.excused;
  task.excused = 0;
}

/**
 * Crashes within this time may have a common cause, ms: a sidecar finds its backend server gone by
 * the next poll or, if nothing answers, after two unanswered polls and the time after which it
 * counts as unresponsive.
 */
const WINDOW_MS = 1_000;
