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
  /** Sidecars linked now. */
  readonly peers: () => Iterable<SidecarPeer>;
}

/** Stops runs that crawl at a shunned backend server; they are started elsewhere once they are over. */
export default class SlowRunMoves {
  private readonly looks: Subscription;

  private constructor(private readonly opts: SlowRunMovesOptions) {
    this.looks = opts.timer.every(INTERVAL_MS, () => this.look());
  }

  /** Begins to look at the runs again and again. */
  static start(opts: SlowRunMovesOptions): SlowRunMoves {
    return new SlowRunMoves(opts);
  }

  /** Ends the looks. */
  stop(): void {
    this.looks.cancel();
  }

  private look(): void {
    const { fleet, policy, peers } = this.opts;
    const all = [...peers()];
    policy.findOutliers(all, policy.speeds(fleet, all)).forEach((peer) => this.moveFrom(peer));
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

/** How often runs at slow backend servers are looked at, ms. */
const INTERVAL_MS = 100;
