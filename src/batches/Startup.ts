import type TimerService from '../core/TimerService';

/**
 * The startup phase of an entry, in which it does not know yet what it can serve. After a power
 * loss or a loss of all processes, callers retry before the store has delivered the configuration
 * and before sidecars and backend servers are up. Whether a request can be served is known some
 * hundred milliseconds later, so it waits for that instead of being refused.
 *
 * After this phase, what is missing is presumed absent, and requests are refused immediately.
 */
export default class Startup {
  private readonly startedAt: number;

  private readonly waitEnded = new AbortController();

  private waiting = 0;

  private constructor(private readonly timer: TimerService) {
    this.startedAt = timer.now();
  }

  /** Begins the startup phase, at the start of the process. */
  static begin(timer: TimerService): Startup {
    return new Startup(timer);
  }

  /** Whether sidecars and backend servers may still be starting. */
  get isInProgress(): boolean {
    return this.remainingMs > 0;
  }

  /** Ends all waits, since the configuration is there or the process shuts down. */
  endWaits(): void {
    this.waitEnded.abort();
  }

  /**
   * Resolves when the configuration is known, the caller is gone, or waiting has become pointless.
   * No caller waits longer than half of its time `callerMs`, in ms, since the work takes a part of
   * it as well.
   */
  async waitForConfiguration(callerMs: number, callerGone: AbortSignal): Promise<void> {
    const limitMs = Math.min(this.remainingMs, callerMs / 2);
    if (limitMs <= 0 || this.waiting >= MAX_WAITING) return;
    this.waiting += 1;
    await this.timer.sleep(limitMs, AbortSignal.any([callerGone, this.waitEnded.signal]));
    this.waiting -= 1;
  }

  private get remainingMs(): number {
    return this.startedAt + STARTUP_MS - this.timer.now();
  }
}

/**
 * Duration of the startup phase, ms. After a power loss, the sidecars are linked within a second of
 * the entry's own start, and a backend server sends a heartbeat every 1.5 s.
 */
const STARTUP_MS = 3_000;

/**
 * Most requests that wait for the configuration: their bodies are not read, so each takes some 20
 * KB.
 */
const MAX_WAITING = 1_000;
