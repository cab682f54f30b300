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
  /** Who is suspected of crashes that came together. */
  readonly judge: BatchPolicy['judgeCrashes'];
}

/**
 * The runs that were lost by the newest crashes of backend servers, and who is suspected of them. The first ends of
 * several crashes are heard before it is known that there are several, so a suspicion is lifted afterwards. It
 * comes back with the next crash of which the task is the likeliest cause, and when more is heard by which its batch
 * may be the cause.
 */
export default class RecentCrashes {
  private runs: readonly CrashedRun[] = [];

  /** When a suspicion was last lifted, by the timer service. */
  private liftedAt = -Infinity;

  private constructor(private readonly opts: RecentCrashesOptions) {}

  /** Creates one without any crash. */
  static create(opts: RecentCrashesOptions): RecentCrashes {
    return new RecentCrashes(opts);
  }

  /** A run is over by a crash: its task is started elsewhere while there is anything else. */
  add({ batch, task }: DispatchedRun, { instance: sidecar }: SidecarPeer, role: CrashRole): void {
    const at = this.opts.timer.now();
    const isFirst = task.crashes === 0;
    task.crashes += 1;
    task.failedAt.add(sidecar);
    if (role === CrashRole.SUSPECT) {
      task.suspicion += 1;
      suspectAgain(task);
    }
    const recent = this.runs.filter((run) => at - run.at <= TOGETHER_MS);
    this.runs = [...recent, { sidecar, batch, task, at, isFirst }];
    const { excused, blamed } = this.opts.judge(this.runs);
    blamed.forEach((run) => suspectAgain(run.task));
    this.lift(excused, at);
  }

  private lift(excused: readonly CrashedRun[], now: number): void {
    const suspects = excused.filter(({ task }) => task.suspicion > 0);
    if (suspects.length === 0) return;
    suspects.forEach(({ task }) => {
      task.excused += task.suspicion;
      task.suspicion = 0;
    });
    this.opts.metrics?.add('crash_suspicions_lifted_total', suspects.length);
    if (now - this.liftedAt > TOGETHER_MS) this.tell();
    this.liftedAt = now;
  }

  private tell(): void {
    const sidecars = [...new Set(this.runs.map(({ sidecar }) => sidecar))];
    this.opts.log.warn('backend servers have crashed together: what ran there is not suspected', {
      sidecars,
      runs: this.runs.length,
      suspects: this.runs.filter(({ task }) => task.suspicion > 0).length,
    });
  }
}

/** A suspicion that was lifted is back. */
function suspectAgain(task: BatchTask): void {
  task.suspicion += task.excused;
  task.excused = 0;
}

/**
 * Crashes this close to one another may have one cause, ms: a sidecar finds its backend server gone by the next look
 * or, where nothing answers, after two unanswered ones and the time by which it counts as silent.
 */
const TOGETHER_MS = 1_000;
