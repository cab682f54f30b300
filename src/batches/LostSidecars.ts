import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import RUN_END_BOUND_MS from '../runs/RUN_END_BOUND_MS';
import type DispatchedRun from './DispatchedRun';
import type SidecarPeer from './SidecarPeer';

interface LostSidecar {
  readonly peer: SidecarPeer;
  readonly expiry: Subscription;
}

/**
 * Runs on sidecars that are unreachable. They may continue for a while: the sidecar stops them some
 * time after this entry last confirmed that it is alive, and if the sidecar itself is dead or
 * frozen, their lease expires some time after its last renewal. Their tasks may be restarted
 * elsewhere only after that, or once the sidecar reports that nothing is left from the earlier
 * link.
 */
export default class LostSidecars {
  private readonly lost = new Set<LostSidecar>();

  private constructor(
    private readonly timer: TimerService,
    private readonly onEnded: (run: DispatchedRun, peer: SidecarPeer, reason: string) => void,
  ) {}

  /**
   * Creates an instance without runs; `onEnded` is called for each run that is known to have ended.
   */
  static create(
    timer: TimerService,
    onEnded: (run: DispatchedRun, peer: SidecarPeer, reason: string) => void,
  ): LostSidecars {
    return new LostSidecars(timer, onEnded);
  }

  /** Adds a sidecar whose link has ended. Returns how long its runs may continue, ms. */
  add(peer: SidecarPeer): number {
    if (peer.runs.size === 0) return 0;
    const waitMs = Math.max(
      0,
      peer.confirmedAt + RUN_END_BOUND_MS.afterConfirmation - this.timer.now(),
    );
    const expiry = this.timer.after(waitMs, () => this.endRuns(lost, 'every lease has passed'));
    const lost: LostSidecar = { peer, expiry };
    this.lost.add(lost);
    return waitMs;
  }

  /** Handles a sidecar's report, over a new link, that nothing is left from earlier links. */
  handleCleared(instance: string): void {
    [...this.lost]
      .filter(({ peer }) => peer.instance === instance)
      .forEach((lost) => this.endRuns(lost, 'the sidecar is back and has stopped it'));
  }

  private endRuns(lost: LostSidecar, reason: string): void {
    lost.expiry.cancel();
    this.lost.delete(lost);
    const runs = [...lost.peer.runs.values()];
    lost.peer.runs.clear();
    runs.forEach((run) => this.onEnded(run, lost.peer, reason));
  }
}
