import type TimerService from '../core/TimerService';

/**
 * The first seconds of an entry, in which it does not know yet what it can serve. It answers the load
 * after a loss of power or of all processes: callers are back before the store has told the
 * configuration and before sidecars and backend servers have come. Whether a request can be served is
 * known some hundred milliseconds later, so it waits for that instead of being refused.
 *
 * Once the time is over, what is missing is taken to be away, and requests are refused at once.
 */
export default class Startup {
  private readonly startedAt: number;

  private readonly waitEnded = new AbortController();

  private waiting = 0;

  private constructor(private readonly timer: TimerService) {
    this.startedAt = timer.now();
  }

  /** Begins with the start of the process. */
  static begin(timer: TimerService): Startup {
    return new Startup(timer);
  }

  /** Whether sidecars and backend servers may still be about to come. */
  get isInProgress(): boolean {
    return this.leftMs > 0;
  }

  /** The configuration is there, or the process leaves: nobody waits for it any longer. */
  endWaits(): void {
    this.waitEnded.abort();
  }

  /**
   * Resolves when the configuration is known, the caller is gone, or no use of waiting is left. No
   * caller waits longer than half of its time, in ms, since the work takes a part of it as well.
   */
  async waitForConfiguration(callerMs: number, gone: AbortSignal): Promise<void> {
    const limitMs = Math.min(this.leftMs, callerMs / 2);
    if (limitMs <= 0 || this.waiting >= MOST_WAITING) return;
    this.waiting += 1;
    await this.timer.sleep(limitMs, AbortSignal.any([gone, this.waitEnded.signal]));
    this.waiting -= 1;
  }

  private get leftMs(): number {
    return this.startedAt + STARTUP_MS - this.timer.now();
  }
}

/**
 * How long an entry counts as starting, ms. After a loss of power its sidecars are linked within a second
 * of its own start, and a backend server sends a heartbeat every 1.5 s.
 */
const STARTUP_MS = 3_000;

/** Requests that may wait for the configuration: their bodies are not read, so each takes some 20 KB. */
const MOST_WAITING = 1_000;
