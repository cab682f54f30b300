import type TimerService from '../core/TimerService';
import pulseTimings from '../peering/pulseTimings';
import BackendClock from './BackendClock';
import type BackendHeartbeat from './BackendHeartbeat';
import runLimits from './runLimits';

/**
 * The lease under which everything on a backend server runs, and the fencing token of what is ordered
 * there. Both are read off the backend server's own clock, which only rises and starts anew with it:
 * so the token rises over the restarts of sidecars without anything being stored. A backend server that
 * starts again under its id tells when it did; the token is then counted from that start, so that it
 * rises over its lives too, and it is above all that earlier lives were sent.
 */
export default class BackendLease {
  private readonly clock: BackendClock;

  /** The latest end ever sent, on the backend server's clock. */
  private latestExpiry = 0;

  private currentToken: number;

  private tokenStep = 1;

  private constructor(
    timer: TimerService,
    clockMs: number,
    private readonly born: number | undefined,
    above: number,
  ) {
    this.clock = BackendClock.of(timer, clockMs);
    this.currentToken = Math.max(above + 1, this.tokenAt(clockMs));
  }

  /** Starts with a heartbeat that has just arrived; the token is above the one given. */
  static of(timer: TimerService, report: BackendHeartbeat, above = 0): BackendLease {
    return new BackendLease(timer, report.clockMs, report.born, above);
  }

  /** The fencing token. */
  get token(): number {
    return this.currentToken;
  }

  /** Whether every lease ever sent has surely passed, and what ran under it was killed. */
  get hasExpired(): boolean {
    return this.clock.lowerBound() > this.latestExpiry + runLimits.killMs;
  }

  /** Until that is so, ms. */
  get msUntilExpired(): number {
    return this.clock.upperBoundMsUntil(this.latestExpiry + runLimits.killMs);
  }

  /** Takes a reading of the backend server's clock that has just arrived, ms. */
  updateClock(clockMs: number): void {
    this.clock.update(clockMs);
  }

  /**
   * A lease from now, on the backend server's clock. It is that of everything that runs there, so while an entry that
   * has runs there is silent it is prolonged no further than these may go on, whether they can be stopped or not.
   */
  renew(silentMs = 0): number {
    const overdueMs = Math.max(0, silentMs - pulseTimings.prolongMs);
    const until = Math.floor(this.clock.estimate() + runLimits.leaseMs - overdueMs);
    this.latestExpiry = Math.max(this.latestExpiry, until);
    return this.latestExpiry;
  }

  /**
   * A higher token than ours was seen there: one of an earlier sidecar. Over lives the clock may have fallen, so
   * that it can be higher by any amount.
   */
  raiseToken(): void {
    this.currentToken = Math.max(
      this.currentToken + this.tokenStep,
      this.tokenAt(this.clock.estimate()),
    );
    if (this.born !== undefined) this.tokenStep = Math.min(MAX_TOKEN_STEP_MS, this.tokenStep * 2);
  }

  private tokenAt(clockMs: number): number {
    return Math.floor((this.born ?? 0) + clockMs);
  }
}

/** Most that the token is raised by at once, ms, 18 hours: at 50 refusals a second it stays a whole number for weeks. */
const MAX_TOKEN_STEP_MS = 2 ** 26;
