import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import pulseTimings from './pulseTimings';

/**
 * Notices that this process did not run for a while: by a gap in the steady clock, or, since that
 * clock stands still while a machine is suspended, by a jump between it and the wall clock. A jump
 * may also be a wall clock that was set; both count, since what waits in the sockets may be old.
 *
 * It looks at intervals and whenever it is asked, because what had arrived is handled before the
 * timers are.
 */
export default class PauseDetector {
  private steadyAt: number;

  private wallAt: number;

  private watching: Subscription | undefined;

  private constructor(
    private readonly timer: TimerService,
    private readonly noticed: (gapMs: number) => void,
  ) {
    this.steadyAt = timer.now();
    this.wallAt = timer.wall();
  }

  /** Starts to watch; `noticed` is told the length of each gap, which is too long by an interval at most; all in ms. */
  static start(
    timer: TimerService,
    intervalMs: number,
    noticed: (gapMs: number) => void,
  ): PauseDetector {
    const watch = new PauseDetector(timer, noticed);
    watch.watching = timer.every(intervalMs, () => watch.check());
    return watch;
  }

  /** Looks now; to be called before acting on what a peer or a caller has sent. */
  check(): void {
    const steady = this.timer.now();
    const wall = this.timer.wall();
    const steadyGap = steady - this.steadyAt;
    const jump = Math.abs(wall - this.wallAt - steadyGap);
    this.steadyAt = steady;
    this.wallAt = wall;
    const gap = Math.max(steadyGap, jump);
    if (gap >= pulseTimings.gapMs) this.noticed(Math.round(gap));
  }

  /** Ends the watch. */
  stop(): void {
    this.watching?.cancel();
  }
}
