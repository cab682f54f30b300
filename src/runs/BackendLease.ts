import type TimerService from '../core/TimerService';
import BackendClock from './BackendClock';
import runLimits from './runLimits';

/**
 * The lease under which everything on a backend server runs, and the fencing token of what is ordered
 * there. Both are read off the backend server's own clock, which only rises and starts anew with it:
 * so the token rises over the restarts of sidecars without anything being stored.
 */
export default class BackendLease {
  private readonly clock: BackendClock;

  /** The latest end ever sent, on the backend server's clock. */
  private until = 0;

  private highest: number;

  private constructor(timer: TimerService, clockMs: number) {
    this.clock = BackendClock.of(timer, clockMs);
    this.highest = Math.max(1, Math.floor(clockMs));
  }

  /** Starts with a reading of the backend server's clock that has just arrived, ms. */
  static of(timer: TimerService, clockMs: number): BackendLease {
    return new BackendLease(timer, clockMs);
  }

  /** The fencing token. */
  get token(): number {
    return this.highest;
  }

  /** Whether every lease ever sent has surely passed, and what ran under it was killed. */
  get hasPassed(): boolean {
    return this.clock.atLeast() > this.until + runLimits.killMs;
  }

  /** Takes a reading of the backend server's clock that has just arrived, ms. */
  hear(clockMs: number): void {
    this.clock.hear(clockMs);
  }

  /** A lease from now, on the backend server's clock. */
  renew(): number {
    const until = Math.floor(this.clock.estimate() + runLimits.leaseMs);
    this.until = Math.max(this.until, until);
    return until;
  }

  /** A higher token than ours was seen there: one of an earlier sidecar. */
  raiseToken(): void {
    this.highest = Math.max(this.highest + 1, Math.floor(this.clock.estimate()));
  }
}
