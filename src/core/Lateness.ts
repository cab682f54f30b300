import type Subscription from './Subscription';
import type TimerService from './TimerService';

/**
 * How late this process is with what it has to do: by how much a timer of its own is overdue, now or when it
 * was last called. All that arrives waits as long, since a process does one thing after the other.
 */
export default class Lateness {
  private dueAt: number;

  /** How late the timer's last call was, ms, and the one before it. */
  private lastMs = 0;

  private beforeMs = 0;

  private readonly ticks: Subscription;

  private constructor(private readonly timer: TimerService) {
    this.dueAt = timer.now() + INTERVAL_MS;
    this.ticks = timer.every(INTERVAL_MS, () => this.tick());
  }

  /** Starts to watch. */
  static watch(timer: TimerService): Lateness {
    return new Lateness(timer);
  }

  /**
   * How late what is done now is done, ms. One long turn alone, such as reading a configuration, counts for an
   * interval at most: it says nothing of how much there is to do.
   */
  get currentMs(): number {
    const nowMs = Math.max(this.lastMs, this.timer.now() - this.dueAt);
    return Math.min(nowMs, this.beforeMs + INTERVAL_MS);
  }

  /** Ends the watch. */
  stop(): void {
    this.ticks.cancel();
  }

  private tick(): void {
    const now = this.timer.now();
    this.beforeMs = this.lastMs;
    this.lastMs = Math.max(0, now - this.dueAt);
    this.dueAt = now + INTERVAL_MS;
  }
}

/** How often the timer is due, ms: what is late by less is not noticed, and each call wakes the process. */
const INTERVAL_MS = 100;
