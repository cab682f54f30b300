import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import pulseTimings from './pulseTimings';

/**
 * Detects that this process was paused: by a jump of the monotonic clock, or, since that clock stops
 * while a machine is suspended, by a difference between its progress and that of the wall clock. The
 * difference may also mean that the wall clock was set. Both count as a pause, since the messages in
 * the socket buffers may be old.
 *
 * It checks at intervals and on request, because Node handles messages that have arrived before timers.
 */
export default class PauseDetector {
  private lastMonotonicMs: number;

  private lastWallMs: number;

  private subscription: Subscription | undefined;

  private constructor(
    private readonly timer: TimerService,
    private readonly onPause: (pauseMs: number) => void,
  ) {
    this.lastMonotonicMs = timer.now();
    this.lastWallMs = timer.wall();
  }

  /**
   * Starts the checks. `onPause` is called with the length of each pause, which is at most one interval too
   * long; all in ms.
   */
  static start(
    timer: TimerService,
    intervalMs: number,
    onPause: (pauseMs: number) => void,
  ): PauseDetector {
    const detector = new PauseDetector(timer, onPause);
    detector.subscription = timer.every(intervalMs, () => detector.check());
    return detector;
  }

  /** Checks now; to be called before acting on what a peer or a caller has sent. */
  check(): void {
    const monotonicMs = this.timer.now();
    const wallMs = this.timer.wall();
    const elapsedMs = monotonicMs - this.lastMonotonicMs;
    const divergenceMs = Math.abs(wallMs - this.lastWallMs - elapsedMs);
    this.lastMonotonicMs = monotonicMs;
    this.lastWallMs = wallMs;
    const pauseMs = Math.max(elapsedMs, divergenceMs);
    if (pauseMs >= pulseTimings.pauseThresholdMs) this.onPause(Math.round(pauseMs));
  }

  /** Stops the checks. */
  stop(): void {
    this.subscription?.cancel();
  }
}
