import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import RUN_END_BOUND_MS from '../runs/RUN_END_BOUND_MS';
import type DispatchedRun from './DispatchedRun';
import type SidecarPeer from './SidecarPeer';

interface LostSidecar {
  readonly peer: SidecarPeer;
  readonly release: Subscription;
}

/**
 * Runs whose sidecar is out of reach. They may go on for a while: the sidecar stops them some time
 * after this entry last confirmed that it is awake, and if the sidecar itself is dead or frozen their
 * lease passes after its last renewal. Only then, or when the sidecar says that nothing is left of
 * the earlier link, may their tasks be started elsewhere.
 */
export default class LostSidecars {
  private readonly lost = new Set<LostSidecar>();

  private constructor(
    private readonly timer: TimerService,
    private readonly over: (run: DispatchedRun, peer: SidecarPeer, reason: string) => void,
  ) {}

  /** Creates one without any; `over` is told of each run that is certainly over. */
  static create(
    timer: TimerService,
    over: (run: DispatchedRun, peer: SidecarPeer, reason: string) => void,
  ): LostSidecars {
    return new LostSidecars(timer, over);
  }

  /** The link to a sidecar has ended. Returns how long its runs may go on, ms. */
  add(peer: SidecarPeer): number {
    if (peer.runs.size === 0) return 0;
    const waitMs = Math.max(
      0,
      peer.confirmedAt + RUN_END_BOUND_MS.afterConfirmation - this.timer.now(),
    );
    const release = this.timer.after(waitMs, () => this.release(lost, 'every lease has passed'));
    const lost: LostSidecar = { peer, release };
    this.lost.add(lost);
    return waitMs;
  }

  /** A sidecar says over a new link that nothing of earlier ones is left. */
  handleCleared(instance: string): void {
    [...this.lost]
      .filter(({ peer }) => peer.instance === instance)
      .forEach((lost) => this.release(lost, 'the sidecar is back and has stopped it'));
  }

  private release(lost: LostSidecar, reason: string): void {
    lost.release.cancel();
    this.lost.delete(lost);
    const runs = [...lost.peer.runs.values()];
    lost.peer.runs.clear();
    runs.forEach((run) => this.over(run, lost.peer, reason));
  }
}
