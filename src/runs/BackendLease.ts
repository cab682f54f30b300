import type TimerService from '../core/TimerService';
import pulseTimings from '../peering/pulseTimings';
import BackendClock from './BackendClock';
import type BackendHeartbeat from './BackendHeartbeat';
import runLimits from './runLimits';

/**
 * The lease under which everything on a backend server runs, and the fencing token of the calls to it. Both are
 * derived from the backend server's monotonic clock, which starts anew with its process: the token rises across
 * restarts of sidecars without being stored. A backend server that restarts under the same id reports its start
 * time. The token then counts from that time, so that it also rises across incarnations, and it is above all
 * tokens that earlier incarnations were sent.
 */
export default class BackendLease {
  private readonly clock: BackendClock;

  /** The latest expiry ever sent, on the backend server's clock. */
  private latestExpiry = 0;

  private currentToken: number;

  private tokenStep = 1;

  private constructor(
    timer: TimerService,
    clockMs: number,
    private readonly born: number | undefined,
    previousToken: number,
  ) {
    this.clock = BackendClock.of(timer, clockMs);
    this.currentToken = Math.max(previousToken + 1, this.tokenAt(clockMs));
  }

  /** Creates a lease from a heartbeat that has just arrived; the token is above the one given. */
  static of(timer: TimerService, heartbeat: BackendHeartbeat, previousToken = 0): BackendLease {
    return new BackendLease(timer, heartbeat.clockMs, heartbeat.born, previousToken);
  }

  /** The fencing token. */
  get token(): number {
    return this.currentToken;
  }

  /** Whether every lease ever sent is known to have expired, and what ran under it to have been killed. */
  get hasExpired(): boolean {
    return this.clock.lowerBound() > this.latestExpiry + runLimits.killMs;
  }

  /** Upper bound of the time until that is so, ms. */
  get msUntilExpired(): number {
    return this.clock.upperBoundMsUntil(this.latestExpiry + runLimits.killMs);
  }

  /** Applies a reading of the backend server's clock that has just arrived, ms. */
  updateClock(clockMs: number): void {
    this.clock.update(clockMs);
  }

  /**
   * Returns the expiry of a renewed lease, on the backend server's clock. The lease covers everything that runs
   * there, so while an entry with runs there is unresponsive it is extended no further than these runs may go
   * on, whether they can be stopped or not.
   */
  renew(silentMs = 0): number {
    const overdueMs = Math.max(0, silentMs - pulseTimings.leaseExtensionLimitMs);
    const expiry = Math.floor(this.clock.estimate() + runLimits.leaseMs - overdueMs);
    this.latestExpiry = Math.max(this.latestExpiry, expiry);
    return this.latestExpiry;
  }

  /**
   * The backend server has seen a higher token than ours, from an earlier sidecar. Across incarnations the
   * clock may have been set back, so it can be higher by any amount.
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

/**
 * The largest step by which the token is raised, ms, 18 hours: at 50 refusals a second it stays a whole number
 * for weeks.
 */
const MAX_TOKEN_STEP_MS = 2 ** 26;
