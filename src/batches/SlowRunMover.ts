import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import type EventLog from '../observe/EventLog';
import type Metrics from '../observe/Metrics';
import type FleetDurationRatios from '../placement/FleetDurationRatios';
import type BatchPolicy from './BatchPolicy';
import type SidecarPeer from './SidecarPeer';

interface SlowRunMovesOptions {
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics?: Metrics;
  readonly policy: BatchPolicy;
  readonly fleet: FleetDurationRatios;
  /** Sidecars that are linked. */
  readonly peers: () => Iterable<SidecarPeer>;
}

/**
 * Stops runs that make hardly any progress at an ejected backend server; they are restarted
 * elsewhere once they have ended.
 */
export default class SlowRunMover {
  private readonly checkTimer: Subscription;

  private constructor(private readonly opts: SlowRunMovesOptions) {
    this.checkTimer = opts.timer.every(CHECK_INTERVAL_MS, () => this.checkRuns());
  }

  /** Starts to check the runs periodically. */
  static start(opts: SlowRunMovesOptions): SlowRunMover {
    return new SlowRunMover(opts);
  }

  /** Stops the checks. */
  stop(): void {
    this.checkTimer.cancel();
  }

  private checkRuns(): void {
    const { fleet, policy, peers } = this.opts;
    const all = [...peers()];
    policy
      .findOutliers(all, policy.machineRatios(fleet, all))
      .forEach((peer) => this.moveFrom(peer));
  }

  private moveFrom(peer: SidecarPeer): void {
    const { timer, log, metrics, policy } = this.opts;
    const now = timer.now();
    const runs = [...peer.runs.values()].filter((run) => policy.shouldMove(run, peer, now));
    if (runs.length === 0) return;
    runs.forEach(({ task }) => {
      task.moves += 1;
    });
    peer.stopRuns(runs);
    metrics?.add('runs_moved_total', runs.length);
    log.info('runs are moved from a slow backend server', {
      sidecar: peer.instance,
      slowness: peer.slowness,
      requests: runs.map(({ batch }) => batch.id),
    });
  }
}

/** Interval of the check of runs at slow backend servers, ms. */
const CHECK_INTERVAL_MS = 100;
